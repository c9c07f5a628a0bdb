//! What goes wrong in a scenario.
//!
//! ```
//! use damaskvane_scenario::script;
//!
//! assert_ne!(script::ServerMode::Healthy, script::ServerMode::Shed);
//! ```

use damaskvane_core::{ids, time};

/// How a backend server behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerMode {
    /// It runs what it gets and answers (`ok`).
    Healthy,
    /// It refuses everything before running it.
    Shed,
    /// The next request is read, begun, and kills it.
    Die,
    /// It reads a request, its connection breaks, and the request runs on.
    HangUp,
    /// It runs requests and never answers.
    Swallow,
    /// Connections open, and nothing is read from them.
    Silent,
    /// It runs requests, and its answers end early.
    Cut,
    /// It runs requests, and answers with another one's answer.
    Cross,
    /// Nothing listens.
    Down,
    /// Each request takes this long.
    Slow(time::SpanMs),
}

/// What goes wrong.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// A backend server changes its behaviour.
    Server {
        /// Which one.
        server: ids::BackendServerId,
        /// What it does from now on.
        mode: ServerMode,
    },
    /// An entry instance ends without warning.
    Kill(ids::InstanceId),
    /// An entry instance ends without warning, where it still runs, and starts anew.
    Restart(ids::InstanceId),
    /// An entry instance does nothing for a while.
    Pause {
        /// Which one.
        instance: ids::InstanceId,
        /// For how long.
        span: time::SpanMs,
    },
    /// No message passes between two; the second may be `platform`.
    Cut(ids::InstanceId, ids::InstanceId),
    /// Messages pass again.
    Heal(ids::InstanceId, ids::InstanceId),
}
