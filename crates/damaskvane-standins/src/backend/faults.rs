//! Faults that tests switch on and off for a backend server.
//!
//! ```
//! use damaskvane_standins::backend;
//!
//! let faults: backend::Faults = serde_json::from_str(r#"{"shed":true}"#)?;
//! assert!(faults.shed && !faults.omit_response);
//! # Ok::<(), serde_json::Error>(())
//! ```

use serde::{Deserialize, Serialize};

/// The stage of an exchange at which the server closes the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DisconnectStage {
    /// Before a byte of the request is read; the request doesn't run.
    BeforeRead,
    /// After the request is read; the request doesn't run.
    AfterRead,
    /// In the middle of the response body; the request has run.
    #[serde(rename = "mid_answer")]
    MidResponse,
}

/// A wrong response of the `/health` endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthOverride {
    /// Reports the server as unhealthy although it serves requests.
    Unhealthy,
    /// Reports the server as healthy although [`Faults::error`] makes every request fail.
    Healthy,
    /// Sends no response and keeps the connection open.
    #[serde(rename = "silent")]
    Unresponsive,
}

/// A wrong response of the `/load` endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadOverride {
    /// Reports no running request.
    Idle,
    /// Reports a running request in every slot.
    Full,
}

/// The faults of one server; the default is none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether the server rejects every request with 503 and `damaskvane-not-run`, without running it.
    pub shed: bool,
    /// Whether the server responds to every request with 500 at once, as a handler does that fails before
    /// its work.
    pub error: bool,
    /// The stage of each exchange at which the server closes the connection.
    #[serde(rename = "die")]
    pub disconnect_at: Option<DisconnectStage>,
    /// Whether the server runs each request but sends no response.
    #[serde(rename = "swallow")]
    pub omit_response: bool,
    /// Whether the connections that are open when the faults are set get no more responses.
    ///
    /// New connections work.
    #[serde(rename = "silent_connections")]
    pub freeze_connections: bool,
    /// The wrong response of `/health`, if any.
    pub health: Option<HealthOverride>,
    /// The wrong response of `/load`, if any.
    pub load: Option<LoadOverride>,
    /// The duration of the cold start that begins when the faults are set, in milliseconds.
    pub cold_start_ms: u64,
    /// The factor by which the service time is multiplied during a cold start.
    pub cold_factor: u64,
    /// Whether the server closes its listener and all connections, like a process that has ended.
    pub down: bool,
}
