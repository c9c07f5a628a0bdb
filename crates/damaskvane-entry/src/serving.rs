//! What look-ups are answered from: one immutable state, swapped whole.
//!
//! Look-ups are many and must not wait for decisions, so they read a snapshot that the control thread
//! replaces; no look-up ever sees half of a change.
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

/// What the threads of an entry instance share.
#[derive(Debug)]
pub struct Serving {
    /// Counts of everything that happens.
    pub counters: counters::Counters,
    /// What this instance measures of its traffic.
    pub meter: load::Meter,
    /// The process's clock.
    pub clock: clock::MonotonicClock,
    /// Homes that are later than the processes that have them.
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
    /// Serving without a configuration; `id_prefix` makes generated request ids unique in the fleet.
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

    /// The present state.
    #[must_use]
    pub fn state(&self) -> Arc<ServingState> {
        self.state.load_full()
    }

    /// Replaces the state.
    pub fn replace(&self, state: ServingState) {
        self.state.store(Arc::new(state));
    }

    /// The configuration version in force on this instance; zero before the first.
    #[must_use]
    pub fn config_version(&self) -> ids::ConfigVersion {
        self.state.load().version
    }

    /// Whether clients can be let in: requests would find a slot.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Says whether requests would find a slot.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Release);
    }

    /// Whether a planned stop has finished all work.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.drained.load(Ordering::Acquire)
    }

    /// Says that a planned stop has finished all work.
    pub fn set_drained(&self) {
        self.drained.store(true, Ordering::Release);
    }

    /// Whether any request is under way.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.busy.load(Ordering::Acquire)
    }

    /// Says whether any request is under way.
    pub fn set_busy(&self, busy: bool) {
        self.busy.store(busy, Ordering::Release);
    }

    /// Lets no more clients in; those that are connected get their answers.
    pub fn stop_accepting(&self) {
        self.accepting_stopped.notify_one();
    }

    /// Waits until no more clients are to be let in.
    pub async fn accepting_stopped(&self) {
        self.accepting_stopped.notified().await;
    }

    /// A number for a request that has just arrived.
    #[must_use]
    pub fn next_request_number(&self) -> event::RequestNumber {
        event::RequestNumber::new(self.next_request.fetch_add(1, Ordering::Relaxed))
    }

    /// An id for a request whose client sent none.
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
