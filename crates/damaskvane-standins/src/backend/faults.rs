//! The faults that can be switched on for one backend server.
//!
//! ```
//! use damaskvane_standins::backend;
//!
//! let faults: backend::Faults = serde_json::from_str(r#"{"shed":true}"#)?;
//! assert!(faults.shed && !faults.swallow);
//! # Ok::<(), serde_json::Error>(())
//! ```

use serde::{Deserialize, Serialize};

/// Where in an exchange the connection dies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ByteStage {
    /// The connection closes before a byte of the request is read; nothing ran.
    BeforeRead,
    /// The connection closes once the request is read; nothing ran.
    AfterRead,
    /// The request ran, and the answer is cut in its middle.
    MidAnswer,
}

/// What the health endpoint claims instead of the truth.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthLie {
    /// Unhealthy, though it serves.
    Unhealthy,
    /// Healthy, though it is told to fail: the endpoint's answer while every request errs.
    Healthy,
    /// No answer at all.
    Silent,
}

/// What the load endpoint claims instead of the truth.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadLie {
    /// Nothing running.
    Idle,
    /// All slots running.
    Full,
}

/// The faults of one server. The default is none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Refuse every request with 503 and `damaskvane-not-run`, running none.
    pub shed: bool,
    /// Answer 500 at once to every request, as something that broke early does.
    pub error: bool,
    /// Close connections at this stage of each exchange.
    pub die: Option<ByteStage>,
    /// Run each request and never answer it.
    pub swallow: bool,
    /// Leave the connections that were open when this was switched on without answers; new ones work.
    pub silent_connections: bool,
    /// What `/health` claims.
    pub health: Option<HealthLie>,
    /// What `/load` claims.
    pub load: Option<LoadLie>,
    /// For so long after this was switched on, requests run `cold_factor` times longer, in milliseconds.
    pub cold_start_ms: u64,
    /// How many times longer a request runs during a cold start.
    pub cold_factor: u64,
    /// Refuse connections, as a process that is gone does.
    pub down: bool,
}
