//! Health of the backend servers of a pool, from health reports and from the outcomes of requests.
//!
//! A pool holds the servers of one service in one zone. Health reports lag and can be wrong, so the
//! outcomes of this instance's own requests take precedence. A server that has just responded is
//! not excluded because of a report, and reports alone exclude no more than a configured part of
//! the pool. A cold server has started or recovered recently, and its share of new requests
//! increases gradually.
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
mod server;
mod settings;

pub use admission::{Admission, ExclusionReason};
pub use pool::Pool;
pub use server::Outcome;
pub use settings::Settings;
