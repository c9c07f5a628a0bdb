//! Which backend servers of a pool take work, by reports and by what is seen in use.
//!
//! Reports lag and mislead. What this instance sees of its own requests goes first: a server that has
//! just answered is not taken out on a report, and all reports together take out no more than a set
//! part of the pool. A server that comes in cold gets a part of the work that grows.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_steering::health;
//!
//! let mut pool = health::Pool::new(health::Settings::default());
//! let server: damaskvane_core::ids::BackendServerId = "rider-desk-1".parse()?;
//! pool.join(server.clone(), time::TimeMs::ZERO);
//! assert!(matches!(pool.admission(&server, time::TimeMs::ZERO), health::Admission::Part { .. }));
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

mod admission;
mod pool;
mod seen;
mod settings;

pub use admission::{Admission, ExclusionReason};
pub use pool::Pool;
pub use seen::Outcome;
pub use settings::Settings;
