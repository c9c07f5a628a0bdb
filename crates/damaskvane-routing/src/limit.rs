//! Shares of limits that all instances keep together without a message.
//!
//! A limit over all instances is divided by the most instances that may be at work. Every instance
//! keeps to its own share, whatever it hears of the others, so the shares add up to the limit at most.
//!
//! ```
//! use damaskvane_routing::limit;
//!
//! let mut window = limit::Window::new(1_000);
//! window.record(damaskvane_core::time::TimeMs::new(10));
//! assert_eq!(window.count(damaskvane_core::time::TimeMs::new(900)), 1);
//! assert_eq!(window.count(damaskvane_core::time::TimeMs::new(1_011)), 0);
//! ```

mod cold_rate;
mod retry_budget;
mod window;

pub use cold_rate::{ColdRate, ColdRateSettings};
pub use retry_budget::{RetryBudget, RetryBudgetSettings};
pub use window::Window;
