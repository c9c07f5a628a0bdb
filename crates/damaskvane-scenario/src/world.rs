//! A simulation that runs the real decision code of entry instances in virtual time.
//!
//! Each entry instance is one real `Engine` and one real `Membership`. Backend servers, clients and
//! the platform's list of instances are small fakes. The network model covers only delayed, lost
//! and duplicated messages and cut links.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_scenario::world;
//!
//! let mut world = world::World::default();
//! world.advance(time::SpanMs::new(100));
//! assert!(world.violations().is_empty());
//! ```

mod clients;
mod control;
mod delivery;
mod entry;
mod exchanges;
mod faults;
mod lists;
mod network;
mod platform;
mod request_counts;
mod responses;
mod server;
mod settings;
mod violations;

use std::collections::BTreeMap;

use damaskvane_core::{ids, time};
use damaskvane_dispatch::home;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub use clients::{ClientRequest, ClientState};
pub use request_counts::RequestCounts;
pub use server::Execution;
pub(crate) use server::Server;
pub use settings::WorldSettings;

use delivery::Delivery;

/// The state of the whole simulated system at one point in virtual time.
#[derive(Debug)]
pub struct World {
    pub(crate) now: time::TimeMs,
    rng: Pcg64Mcg,
    settings: WorldSettings,
    queue: BTreeMap<(time::TimeMs, u64), Delivery>,
    next_serial: u64,
    network: network::Network,
    config: control::Config,
    platform: platform::Platform,
    pub(crate) entries: BTreeMap<ids::InstanceId, entry::Entry>,
    pub(crate) servers: BTreeMap<ids::BackendServerId, Server>,
    pub(crate) requests: BTreeMap<ids::RequestId, ClientRequest>,
    homes: BTreeMap<ids::IdempotencyKey, home::Home>,
    broken_invariants: Vec<String>,
    /// Counts of the requests that were dropped from `requests`.
    dropped: RequestCounts,
}

impl Default for World {
    fn default() -> Self {
        Self::new(WorldSettings::default())
    }
}

impl World {
    /// Returns a world without services, backend servers and entry instances.
    #[must_use]
    pub fn new(settings: WorldSettings) -> Self {
        Self {
            now: time::TimeMs::ZERO,
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
            network: network::Network::default(),
            settings,
            queue: BTreeMap::new(),
            next_serial: 0,
            config: control::Config::default(),
            platform: platform::Platform::default(),
            entries: BTreeMap::new(),
            servers: BTreeMap::new(),
            requests: BTreeMap::new(),
            homes: BTreeMap::new(),
            broken_invariants: Vec::new(),
            dropped: RequestCounts::default(),
        }
    }

    /// Returns the settings, which set-up statements of a script change.
    pub const fn settings_mut(&mut self) -> &mut WorldSettings {
        &mut self.settings
    }

    /// Restarts the random number generator from a seed.
    pub fn reseed(&mut self, seed: u64) {
        self.rng = Pcg64Mcg::seed_from_u64(seed);
    }

    /// Advances virtual time by `span` and processes all scheduled events (for example messages,
    /// ticks and crashes) that become due, in time order.
    pub fn advance(&mut self, span: time::SpanMs) {
        let until = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            let (due, _) = *entry.key();
            if due > until {
                break;
            }
            let delivery = entry.remove();
            self.now = due;
            self.deliver(delivery);
        }
        self.now = until;
    }

    /// Returns the home that lookups name for an instance, or `None` for an unknown instance.
    #[must_use]
    pub fn home(&self, instance: &ids::InstanceId) -> Option<home::Home> {
        let entry = self.entries.get(instance)?;
        Some(entry.lookup_home())
    }

    fn schedule(&mut self, after: time::SpanMs, delivery: Delivery) {
        self.next_serial += 1;
        let due = self.now + after;
        self.queue.insert((due, self.next_serial), delivery);
    }

    fn random_ms(&mut self, min: u64, max: u64) -> time::SpanMs {
        time::SpanMs::new(self.rng.random_range(min..=max))
    }
}
