//! What a scenario starts with.
//!
//! ```
//! use damaskvane_scenario::script;
//!
//! let zone = script::SetUp::Zone("sask-a".parse()?);
//! assert!(format!("{zone:?}").contains("sask-a"));
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

use damaskvane_core::{ids, time, units};

/// What a scenario starts with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SetUp {
    /// The seed of all delays and losses.
    Seed(u64),
    /// How messages between instances travel.
    Network {
        /// The shortest way.
        delay: time::SpanMs,
        /// What is added at most.
        jitter: time::SpanMs,
        /// How many of a thousand are lost.
        loss_permille: u32,
    },
    /// The table of idempotency keys of each entry instance.
    Keys {
        /// How many one incarnation takes.
        max_keys: usize,
        /// How long outcomes are kept.
        window: time::SpanMs,
    },
    /// An availability zone; the part before the last `-` is its region.
    Zone(ids::AvailabilityZoneId),
    /// A service.
    Service {
        /// Its name.
        service: ids::ServiceId,
        /// The longest a request may take.
        timeout: time::SpanMs,
        /// How many requests wait on one entry instance.
        queue: u32,
        /// How long a request runs on a backend server.
        time: time::SpanMs,
    },
    /// A backend server.
    Server {
        /// Its name.
        server: ids::BackendServerId,
        /// Where it stands.
        zone: ids::AvailabilityZoneId,
        /// What it runs.
        service: ids::ServiceId,
        /// How many requests it runs at a time.
        slots: units::Slots,
    },
    /// An entry instance.
    Entry {
        /// Its name.
        instance: ids::InstanceId,
        /// Where it stands.
        zone: ids::AvailabilityZoneId,
    },
}
