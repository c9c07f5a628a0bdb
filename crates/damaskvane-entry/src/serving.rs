//! State that lookups are served from, and other state that the threads of the process share.
//!
//! Lookups are frequent and must not wait for the control thread. They read an immutable snapshot that the
//! control thread replaces atomically, so no lookup sees a partial change.
//!
//! ```
//! use damaskvane_entry::serving;
//! use damaskvane_telemetry::counters;
//!
//! let serving = serving::Serving::new(counters::Counters::local(), "e-1");
//! assert_eq!(serving.config_version().get(), 0);
//! ```

mod client_zones;
mod homes;
mod state;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use arc_swap::ArcSwap;
pub use client_zones::ClientZones;
use damaskvane_core::ids;
use damaskvane_engine::event;
use damaskvane_telemetry::counters;
pub use homes::RenewedHomes;
pub use state::{EntryEndpoint, LookupService, ServingState, client_hash};
use tokio::sync::Notify;

use crate::clock;
use crate::load;

/// State that the threads of an entry instance share.
#[derive(Debug)]
pub struct Serving {
    /// Counters of the process.
    pub counters: counters::Counters,
    /// Traffic measurements of this instance.
    pub meter: load::Meter,
    /// Monotonic clock of the process.
    pub clock: clock::MonotonicClock,
    /// Latest incarnations of instances that have raised their incarnation since their process started.
    pub homes: RenewedHomes,
    state: ArcSwap<ServingState>,
    next_request: AtomicU64,
    id_prefix: String,
    ready: AtomicBool,
    busy: AtomicBool,
    drained: AtomicBool,
    accepting_stopped: Notify,
}

impl Serving {
    /// Creates the state without a configuration; `id_prefix` makes generated request ids unique in the
    /// fleet.
    #[must_use]
    pub fn new(counters: counters::Counters, id_prefix: impl Into<String>) -> Self {
        Self {
            counters,
            meter: load::Meter::default(),
            clock: clock::MonotonicClock::start(),
            homes: RenewedHomes::default(),
            state: ArcSwap::default(),
            next_request: AtomicU64::new(1),
            id_prefix: id_prefix.into(),
            ready: AtomicBool::new(false),
            busy: AtomicBool::new(false),
            drained: AtomicBool::new(false),
            accepting_stopped: Notify::new(),
        }
    }

    /// Returns the current snapshot.
    #[must_use]
    pub fn state(&self) -> Arc<ServingState> {
        self.state.load_full()
    }

    /// Replaces the snapshot.
    pub fn replace(&self, state: ServingState) {
        self.state.store(Arc::new(state));
    }

    /// Returns the configuration version active on this instance; zero before the first configuration.
    #[must_use]
    pub fn config_version(&self) -> ids::ConfigVersion {
        self.state.load().version
    }

    /// Returns whether clients can be accepted: a configuration is active, and slots (rights to run
    /// requests) are granted in this zone or the zone has no backend servers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Sets the value that [`is_ready`](Self::is_ready) returns.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Release);
    }

    /// Returns whether a planned stop has finished all requests, or its time limit has passed.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.drained.load(Ordering::Acquire)
    }

    /// Records that a planned stop has finished all requests, or that its time limit has passed.
    pub fn set_drained(&self) {
        self.drained.store(true, Ordering::Release);
    }

    /// Returns whether any request is in progress.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.busy.load(Ordering::Acquire)
    }

    /// Sets whether any request is in progress.
    pub fn set_busy(&self, busy: bool) {
        self.busy.store(busy, Ordering::Release);
    }

    /// Stops accepting new client connections; clients that are connected still get their responses.
    pub fn stop_accepting(&self) {
        self.accepting_stopped.notify_one();
    }

    /// Waits until [`stop_accepting`](Self::stop_accepting) is called.
    pub async fn accepting_stopped(&self) {
        self.accepting_stopped.notified().await;
    }

    /// Returns a new number, unique in this process, for a request that has arrived.
    #[must_use]
    pub fn next_request_number(&self) -> event::RequestNumber {
        event::RequestNumber::new(self.next_request.fetch_add(1, Ordering::Relaxed))
    }

    /// Generates an id for a request that the client sent without one.
    #[must_use]
    pub fn new_request_id(&self) -> ids::RequestId {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number}", self.id_prefix)
            .parse()
            .unwrap_or_else(|_| fallback_id(number))
    }
}

fn fallback_id(number: u64) -> ids::RequestId {
    number
        .to_string()
        .parse()
        .expect("digits are a valid identifier")
}
