//! The runner: entry instances' real decision code in virtual time, with fakes at its interfaces.
//!
//! Only delays, losses and cuts are modelled. Each entry instance is one real `Engine` and one real
//! `Membership`; backend servers, clients and the platform's list are small fakes.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_scenario::world;
//!
//! let mut world = world::World::default();
//! world.advance(time::SpanMs::new(100));
//! assert!(world.violations().is_empty());
//! ```

mod answers;
mod clients;
mod control;
mod delivery;
mod entry;
mod exchanges;
mod faults;
mod network;
mod platform;
mod request_counts;
mod server;
mod settings;
mod truth;

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

/// Everything there is, at one point in virtual time.
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
    broken: Vec<String>,
    /// Counts of requests that were dropped since.
    forgotten: RequestCounts,
}

impl Default for World {
    fn default() -> Self {
        Self::new(WorldSettings::default())
    }
}

impl World {
    /// An empty world.
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
            broken: Vec::new(),
            forgotten: RequestCounts::default(),
        }
    }

    /// The settings that set-up statements change.
    pub const fn settings_mut(&mut self) -> &mut WorldSettings {
        &mut self.settings
    }

    /// Starts all randomness anew.
    pub fn reseed(&mut self, seed: u64) {
        self.rng = Pcg64Mcg::seed_from_u64(seed);
    }

    /// Lets time pass; everything that is due happens in its order.
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

    /// The home that look-ups name for an instance.
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

    fn random_ms(&mut self, least: u64, most: u64) -> time::SpanMs {
        time::SpanMs::new(self.rng.random_range(least..=most))
    }
}
