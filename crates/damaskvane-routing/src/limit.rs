//! Limits on requests and retries that hold over all entry instances without coordination between them.
//!
//! Each limit is divided by the maximum number of instances that may be running. Every instance keeps to its own share,
//! whatever messages it receives from other instances, so the sum of the shares never exceeds the limit.
//!
//! ```
//! use damaskvane_routing::limit;
//!
//! let mut window = limit::Window::new(1_000);
//! window.record(damaskvane_core::time::TimeMs::new(10));
//! assert_eq!(window.prune_and_count(damaskvane_core::time::TimeMs::new(900)), 1);
//! assert_eq!(window.prune_and_count(damaskvane_core::time::TimeMs::new(1_011)), 0);
//! ```

mod cold_rate;
mod connection_share;
mod request_rate;
mod retry_budget;
mod window;

pub use cold_rate::{ColdRate, ColdRateSettings};
pub use connection_share::connection_share;
pub use request_rate::{ParseRateError, RequestRate};
pub use retry_budget::{RetryBudget, RetryBudgetSettings};
pub use window::Window;
