//! The platform's object API, in memory, with switches for its faults.
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

/// The largest value, in bytes.
pub const MAX_VALUE_BYTES: u64 = 1_000_000;
