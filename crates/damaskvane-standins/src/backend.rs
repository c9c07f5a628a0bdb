//! One process that plays many backend servers.
//!
//! Each server has a listener of its own. It runs whatever it is sent, even beyond its slots: what a
//! caller does wrong is counted, never hidden. Every execution is logged, so that a checker can
//! compare what ran with what clients were told. Faults are switched on and off while it runs.
//!
//! ```
//! use damaskvane_standins::backend;
//!
//! let spec: backend::ServerSpec = "rider-desk-sask-a-1:6:20".parse()?;
//! let server = backend::Server::start(spec, backend::START_SEED)?;
//! assert_eq!(server.stats().running, 0);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod admin;
mod connection;
mod execution;
mod faults;
mod http;
mod options;
mod response_body;
mod server;
mod spec;
mod stats;

pub use admin::Admin;
pub use execution::{Execution, ExecutionLog, ExecutionPage};
pub use faults::{ByteStage, Faults, HealthLie, LoadLie};
pub use options::{Options, OptionsError, USAGE};
pub use response_body::ResponseBody;
pub use server::Server;
pub use spec::{ParseServerSpecError, ServerSpec};
pub use stats::ServerStats;

/// The seed of the service times where none is given.
pub const START_SEED: u64 = 1;

/// Milliseconds since the Unix epoch, so that logs of several processes can be compared.
#[must_use]
pub fn now_unix_ms() -> u64 {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since_epoch.map_or(0, |span| {
        u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
    })
}
