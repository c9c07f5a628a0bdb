//! The set-up statements of a script: settings, zones, services, backend servers and entry instances.
//!
//! ```
//! use damaskvane_scenario::script;
//!
//! let zone = script::SetUp::Zone("sask-a".parse()?);
//! assert!(format!("{zone:?}").contains("sask-a"));
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

use damaskvane_core::{ids, time, units};

/// A setting of the world or an object that a script declares.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SetUp {
    /// The seed of the random delays and losses.
    Seed(u64),
    /// The transport of messages between instances.
    Network {
        /// The minimum delay of a message.
        delay: time::SpanMs,
        /// The maximum random time added to `delay`.
        jitter: time::SpanMs,
        /// The number of lost messages per thousand.
        loss_permille: u32,
    },
    /// The table of idempotency keys of each entry instance.
    Keys {
        /// The maximum number of keys of one incarnation.
        max_keys: usize,
        /// The time for which the outcome of a key is retained.
        window: time::SpanMs,
    },
    /// An availability zone; the part before the last `-` is its region.
    Zone(ids::AvailabilityZoneId),
    /// A service and the limits of its requests.
    Service {
        /// The id of the service.
        service: ids::ServiceId,
        /// The maximum duration of a request.
        timeout: time::SpanMs,
        /// The maximum number of requests that wait on one entry instance.
        queue: u32,
        /// The time for which a request runs on a healthy backend server.
        time: time::SpanMs,
    },
    /// A backend server, which runs requests of one service.
    Server {
        /// The id of the backend server.
        server: ids::BackendServerId,
        /// The zone of the backend server.
        zone: ids::AvailabilityZoneId,
        /// The service whose requests the backend server runs.
        service: ids::ServiceId,
        /// The maximum number of requests that may run at the same time.
        slots: units::Slots,
    },
    /// An entry instance; its first process starts with this statement.
    Entry {
        /// The id of the entry instance.
        instance: ids::InstanceId,
        /// The zone of the entry instance.
        zone: ids::AvailabilityZoneId,
    },
}
