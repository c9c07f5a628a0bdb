//! Stand-ins for backend servers; one process runs many of them.
//!
//! Each server has its own listener. A server runs every request that it receives, even beyond its
//! slots, and counts those beyond, so that a caller's mistakes stay visible. Every execution is
//! logged, so that a checker can compare what ran with the responses that clients received. Faults
//! are switched on and off while a server runs.
//!
//! ```
//! use damaskvane_standins::backend;
//!
//! let spec: backend::ServerSpec = "rider-desk-sask-a-1:6:20".parse()?;
//! let server = backend::Server::start(spec, backend::DEFAULT_SEED)?;
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
pub use faults::{DisconnectStage, Faults, HealthOverride, LoadOverride};
pub use options::{Options, OptionsError, USAGE};
pub use response_body::ResponseBody;
pub use server::Server;
pub use spec::{ParseServerSpecError, ServerSpec};
pub use stats::ServerStats;

/// The seed of the random service times if the caller gives none.
pub const DEFAULT_SEED: u64 = 1;

/// Returns the milliseconds since the Unix epoch, a clock that several processes share in their logs.
#[must_use]
pub fn now_unix_ms() -> u64 {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since_epoch.map_or(0, |span| {
        u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
    })
}
