//! Periods and timeouts of heartbeats and digests, and the number of instances in each role.
//!
//! A heartbeat is the message by which an instance reports that it is alive. An aggregator is an instance that sends a
//! digest of its zone's live instances to other zones. A relay forwards changes of the store within its zone; a watcher
//! receives them from the store for its region.

/// Periods, timeouts and numbers of recipients of the messages between instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerSettings {
    /// Period at which an instance sends heartbeats.
    pub heartbeat_ms: u64,
    /// Time without a heartbeat after which an instance of the same zone counts as dead: three heartbeats, so that one
    /// lost datagram and one late datagram are tolerated.
    pub heartbeat_timeout_ms: u64,
    /// Time without a heartbeat or digest entry after which an instance of another zone counts as dead: the period of
    /// heartbeats within that zone, the period of digests, which is two heartbeats, and 800 ms for a lost digest.
    pub other_zone_timeout_ms: u64,
    /// Number of aggregators of a zone, each of which sends a digest with every second heartbeat: if one aggregator
    /// fails, the digests of the other still arrive within `other_zone_timeout_ms`.
    pub aggregators_per_zone: usize,
    /// Number of instances in each other zone to which a digest is sent, to be forwarded there: if two of them are
    /// down, the third still receives the digest.
    pub digest_receivers_per_zone: usize,
    /// Time without a heartbeat after which the next instance of the zone replaces an aggregator: one and a half
    /// heartbeats. Two extra aggregators for a short time cost a few bytes, but a zone without an aggregator looks dead
    /// to all other zones.
    pub aggregator_timeout_ms: u64,
    /// Of this many heartbeats, one is also sent to listed instances of other zones from which no heartbeat was
    /// received.
    pub heartbeats_between_announcements: u64,
    /// Of this many heartbeats, one is sent to all instances. If there are more instances than this number, the number
    /// of instances is used instead. After a network partition, an instance thus learns of instances that joined
    /// another zone meanwhile: within 25.6 s, or within 5.6 minutes in a fleet of 420 instances.
    pub heartbeats_between_broadcasts: u64,
    /// Time after its start from which an instance may become ready although its record isn't in the store, the
    /// platform's list was not read, or no heartbeat of another instance was received. Writing the record and reading
    /// the list take two calls: 8 ms on an idle store, and about one second on a store that is 60 times slower.
    pub join_timeout_ms: u64,
    /// Minimum number of running instances that is assumed until the platform's list of instances has been read.
    pub assumed_instances: usize,
    /// Number of instances of a zone that forward changes of the store within the zone: the second is a standby for the
    /// first.
    pub relays_per_zone: usize,
    /// Number of instances of a region that watch the store, each in another zone: the second is a standby for the
    /// first.
    pub watchers_per_region: usize,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            heartbeat_ms: 800,
            heartbeat_timeout_ms: 2_600,
            other_zone_timeout_ms: 3_200,
            aggregators_per_zone: 2,
            digest_receivers_per_zone: 3,
            aggregator_timeout_ms: 1_200,
            heartbeats_between_announcements: 8,
            heartbeats_between_broadcasts: 32,
            join_timeout_ms: 1_500,
            assumed_instances: 16,
            relays_per_zone: 2,
            watchers_per_region: 2,
        }
    }
}
