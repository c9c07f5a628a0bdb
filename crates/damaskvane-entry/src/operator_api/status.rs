//! The state of this instance, collected when an operator asks.
//!
//! ```
//! use damaskvane_entry::operator_api::status;
//!
//! assert_eq!(status::Phase::Serving, status::Phase::default());
//! ```

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use damaskvane_core::ids;
use damaskvane_dispatch::home;
use serde::Serialize;

use crate::operator_api::process;
use crate::peers;
use crate::serving;

/// Where an instance is in its life.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It serves.
    #[default]
    Serving,
    /// A planned stop has begun.
    Leaving,
}

/// Details that another thread publishes for operators.
pub type Published = Arc<Mutex<BTreeMap<&'static str, serde_json::Value>>>;

/// Where the status comes from.
#[derive(Clone)]
pub struct Source {
    /// This instance.
    pub home: home::Home,
    /// Its availability zone.
    pub availability_zone: ids::AvailabilityZoneId,
    /// Its region.
    pub region: ids::RegionId,
    /// Its connections to other instances.
    pub peers: Arc<peers::Peers>,
    /// Whether it is leaving.
    pub leaving: Arc<AtomicU8>,
    /// What the control thread and the engine's thread publish.
    pub published: Published,
}

impl Source {
    /// Where the instance is in its life.
    #[must_use]
    pub fn phase(&self) -> Phase {
        if self.leaving.load(Ordering::Acquire) == 0 {
            Phase::Serving
        } else {
            Phase::Leaving
        }
    }

    /// Publishes a detail under a name.
    pub fn publish(&self, name: &'static str, value: serde_json::Value) {
        self.published
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(name, value);
    }
}

#[derive(Debug, Serialize)]
struct Traffic {
    messages: u64,
    bytes: u64,
}

#[derive(Debug, Serialize)]
struct Control {
    sent: BTreeMap<&'static str, Traffic>,
    received: BTreeMap<&'static str, Traffic>,
    dropped: BTreeMap<&'static str, u64>,
}

/// The state of one instance.
#[derive(Debug, Serialize)]
pub struct Status {
    instance: ids::InstanceId,
    incarnation: ids::Incarnation,
    availability_zone: ids::AvailabilityZoneId,
    region: ids::RegionId,
    phase: Phase,
    config_version: ids::ConfigVersion,
    uptime_ms: u64,
    cpu_ms: u64,
    rss_bytes: u64,
    control: Control,
    counters: BTreeMap<String, u64>,
    #[serde(flatten)]
    published: BTreeMap<&'static str, serde_json::Value>,
}

/// Collects the status.
#[must_use]
pub fn collect(serving: &serving::Serving, source: &Source) -> Status {
    let cost = process::cost();
    let published = source
        .published
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    Status {
        instance: source.home.instance.clone(),
        incarnation: source.home.incarnation,
        availability_zone: source.availability_zone.clone(),
        region: source.region.clone(),
        phase: source.phase(),
        config_version: serving.config_version(),
        uptime_ms: serving.clock.now().get(),
        cpu_ms: cost.cpu_ms,
        rss_bytes: cost.rss_bytes,
        control: control(&source.peers),
        counters: serving.counters.snapshot(),
        published,
    }
}

fn control(peers: &peers::Peers) -> Control {
    let snapshot = peers.counters();
    let traffic = |counts: BTreeMap<&'static str, damaskvane_peer::counters::KindCount>| {
        counts
            .into_iter()
            .map(|(kind, count)| {
                let traffic = Traffic {
                    messages: count.messages,
                    bytes: count.bytes,
                };
                (kind, traffic)
            })
            .collect()
    };
    Control {
        sent: traffic(snapshot.sent),
        received: traffic(snapshot.received),
        dropped: snapshot.dropped,
    }
}
