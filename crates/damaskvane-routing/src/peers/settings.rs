//! Periods of heartbeats and digests, and how long silence is excused.

/// Periods of heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerSettings {
    /// The pause between two heartbeats.
    pub heartbeat_ms: u64,
    /// The silence after which an instance is no longer named: three heartbeats, so that one lost datagram
    /// and a late one do no harm.
    pub silence_ms: u64,
    /// The silence after which an instance of another zone is no longer named: a heartbeat within its zone,
    /// a digest that comes every second heartbeat, and 800 ms for a digest that was lost.
    pub other_zone_silence_ms: u64,
    /// Instances of a zone that tell the other zones of it, each with every second heartbeat: when one is
    /// lost, the other's digests still come within the silence.
    pub speakers_per_zone: usize,
    /// Instances of each other zone that a digest goes to, to be handed on: while two of them are lost, the
    /// third one still hears it.
    pub digest_receivers_per_zone: usize,
    /// The silence after which the next instance of a zone speaks for it: a heartbeat and a half. Two more
    /// that speak for a moment cost some bytes, none at all makes a zone look dead to all others.
    pub speaker_silence_ms: u64,
    /// Every so many heartbeats one goes to listed instances of other zones that were never heard.
    pub beats_between_greetings: u64,
    /// Every so many heartbeats, or as many as there are instances if these are more, one goes to all: what an
    /// instance missed while it was cut off from a zone that others joined is mended after 25.6 s, and after
    /// 5.6 minutes in a fleet of 420.
    pub beats_between_repairs: u64,
    /// How long after its start an instance that neither found nor heard others waits to be ready: writing its
    /// record and reading the list take two calls, 8 ms on a calm store and about a second on one that is 60
    /// times slower.
    pub join_timeout_ms: u64,
    /// Instances to reckon with before the platform's list was read.
    pub assumed_instances: usize,
    /// Instances of a zone that hand changes on in it: the second one serves when the first is lost.
    pub relays_per_zone: usize,
    /// Instances of a region that watch the store, in zones apart: the second one serves when the first is lost.
    pub watchers_per_region: usize,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            heartbeat_ms: 800,
            silence_ms: 2_600,
            other_zone_silence_ms: 3_200,
            speakers_per_zone: 2,
            digest_receivers_per_zone: 3,
            speaker_silence_ms: 1_200,
            beats_between_greetings: 8,
            beats_between_repairs: 32,
            join_timeout_ms: 1_500,
            assumed_instances: 16,
            relays_per_zone: 2,
            watchers_per_region: 2,
        }
    }
}
