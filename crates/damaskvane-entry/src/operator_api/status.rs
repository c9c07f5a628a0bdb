//! Status of this instance, collected for each request of an operator.
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

/// Phase in the life cycle of an instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// The instance serves clients; no planned stop has begun.
    #[default]
    Serving,
    /// A planned stop has begun.
    Leaving,
}

/// Status details that other threads publish, by their name in the status.
pub type Published = Arc<Mutex<BTreeMap<&'static str, serde_json::Value>>>;

/// Sources that the status is collected from.
#[derive(Clone)]
pub struct Source {
    /// Name and incarnation of this instance; the incarnation is a number that identifies one start of its
    /// process.
    pub home: home::Home,
    /// Availability zone of this instance.
    pub availability_zone: ids::AvailabilityZoneId,
    /// Region of this instance.
    pub region: ids::RegionId,
    /// Connections to other instances, with their traffic counters.
    pub peers: Arc<peers::Peers>,
    /// Nonzero once a planned stop has begun.
    pub leaving: Arc<AtomicU8>,
    /// Status details that the control thread and the engine thread publish.
    pub published: Published,
}

impl Source {
    /// Returns the current phase of the instance.
    #[must_use]
    pub fn phase(&self) -> Phase {
        if self.leaving.load(Ordering::Acquire) == 0 {
            Phase::Serving
        } else {
            Phase::Leaving
        }
    }

    /// Publishes a status detail, replacing the previous value of this name.
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
struct ControlTraffic {
    sent: BTreeMap<&'static str, Traffic>,
    received: BTreeMap<&'static str, Traffic>,
    dropped: BTreeMap<&'static str, u64>,
}

/// Status of one instance, as serialized for operators.
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
    control: ControlTraffic,
    counters: BTreeMap<String, u64>,
    #[serde(flatten)]
    published: BTreeMap<&'static str, serde_json::Value>,
}

/// Collects the current status of this instance.
#[must_use]
pub fn collect(serving: &serving::Serving, source: &Source) -> Status {
    let usage = process::resource_usage();
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
        cpu_ms: usage.cpu_ms,
        rss_bytes: usage.rss_bytes,
        control: control_traffic(&source.peers),
        counters: serving.counters.snapshot(),
        published,
    }
}

fn control_traffic(peers: &peers::Peers) -> ControlTraffic {
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
    ControlTraffic {
        sent: traffic(snapshot.sent),
        received: traffic(snapshot.received),
        dropped: snapshot.dropped,
    }
}
