//! The platform's object API on an in-memory store, with faults that tests switch on and off.
//!
//! ```
//! use damaskvane_standins::platform;
//!
//! let tokens: platform::Tokens = "secret-1 operator-anna\n".parse().expect("one token");
//! assert_eq!(tokens.holder_of("secret-1"), Some("operator-anna"));
//! ```

mod admin;
mod api;
mod faults;
mod instances;
mod local_server;
mod outcome;
mod rate;
mod stats;
mod store;
mod tokens;

pub use admin::Admin;
pub use api::Api;
pub use faults::{Faults, Switches};
pub use instances::InstanceList;
pub use local_server::LocalServer;
pub use outcome::{Object, WriteOutcome};
pub use stats::Stats;
pub use store::Store;
pub use tokens::{ParseTokensError, Tokens};

/// The maximum size of an object's value, in bytes; a larger value is rejected with 413.
pub const MAX_VALUE_BYTES: u64 = 1_000_000;
