//! Decides which connection failures count against the backend server.
//!
//! A reused connection can stop delivering bytes for good because a network device on its path has dropped the
//! connection's state, while new connections to the same server work. Counting such failures would remove a
//! healthy server and move its share of requests to the others. A failure on a reused connection therefore
//! first leads to a retry on a new connection. Only failures of new connections count, and one complete
//! response resets the count.
//!
//! ```
//! use damaskvane_dispatch::connection;
//!
//! let mut health = connection::ServerHealth::default();
//! let timeout = connection::Failure::Timeout { on_new_connection: false };
//! assert_eq!(health.record_failure(timeout), connection::Action::RetryOnNewConnection);
//! let timeout = connection::Failure::Timeout { on_new_connection: true };
//! assert_eq!(health.record_failure(timeout), connection::Action::CountAsServerFailure);
//! ```

mod failure;
mod health;

pub use failure::{Action, Failure};
pub use health::ServerHealth;
