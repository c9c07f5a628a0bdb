//! The faults that a script injects into backend servers, entry instances and the network.
//!
//! ```
//! use damaskvane_scenario::script;
//!
//! assert_ne!(script::ServerMode::Healthy, script::ServerMode::Shed);
//! ```

use damaskvane_core::{ids, time};

/// The behaviour of a backend server towards new connections and requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerMode {
    /// Runs each request and responds (`ok` in scripts).
    Healthy,
    /// Refuses each request before running it.
    Shed,
    /// Starts the next request and crashes while running it; stays down until the mode changes.
    Die,
    /// Closes the connection after reading a request, and continues to run the request.
    HangUp,
    /// Runs requests and never responds.
    Swallow,
    /// Accepts connections and reads nothing from them.
    Silent,
    /// Runs requests and truncates the responses.
    Cut,
    /// Runs requests and responds with the response of another request.
    Cross,
    /// Refuses connections, as no process listens on the address.
    Down,
    /// Runs each request for this time.
    Slow(time::SpanMs),
}

/// A fault, or its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// Changes the behaviour of a backend server.
    Server {
        /// The id of the backend server.
        server: ids::BackendServerId,
        /// The behaviour until the next change.
        mode: ServerMode,
    },
    /// Ends the process of an entry instance without a planned stop.
    Kill(ids::InstanceId),
    /// Starts a new process of an entry instance; ends a running process first, without a planned stop.
    Restart(ids::InstanceId),
    /// Suspends the process of an entry instance.
    Pause {
        /// The id of the entry instance.
        instance: ids::InstanceId,
        /// The virtual time until the process resumes.
        span: time::SpanMs,
    },
    /// Drops all messages between two instances; the second may be `platform`, the list of instances.
    Cut(ids::InstanceId, ids::InstanceId),
    /// Ends a `Cut` between the same two instances.
    Heal(ids::InstanceId, ids::InstanceId),
}
