//! Reports of busy and unhealthy servers that instances of a zone send to each other.
//!
//! A server reports its load in each response. With many instances, each instance receives a report of a server about
//! once a second, while a queue on the server grows and shrinks within half a second. Instances of a zone prefer the
//! same servers, so they relay the load of servers that have a queue. In a large fleet an instance sends a server a
//! request only every few seconds, too few to detect by itself that the server is slow or failing. Instances therefore
//! also send each other the slowness and failures that they observe.

use damaskvane_core::ids;
use damaskvane_core::time::SpanMs;
use xxhash_rust::xxh3;

use crate::limit::RequestRate;
use crate::pool::LoadReport;

/// Identifies a backend server by a hash of its name, which keeps messages short.
///
/// If two servers have the same key, reports of one of them may be applied to the other; nothing else depends on
/// the key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerKey(u32);

impl ServerKey {
    /// Returns the key of a server.
    #[must_use]
    pub fn of(server: &ids::BackendServerId) -> Self {
        let hash = xxh3::xxh3_64(server.as_str().as_bytes());
        // The lower half of the hash is distributed as evenly as the whole hash.
        Self(hash as u32)
    }

    /// Returns the key as a number, for use in a message.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.0
    }

    /// Returns the key whose number was received in a message.
    #[must_use]
    pub const fn from_wire(key: u32) -> Self {
        Self(key)
    }
}

/// A report of a server that one instance sends to another.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PeerServerReport {
    /// Server that the report is about.
    pub server: ServerKey,
    /// Last load that the server reported to the sender, present if the server has a queue or its queue has just ended.
    pub load: Option<LoadReport>,
    /// Observed slowness and failures, present if the sender has found the server slow or failing, or healthy again.
    pub health: Option<PeerHealthReport>,
    /// Age of the load report in milliseconds when this report was made; 0 if only `health` is present.
    pub age_ms: u64,
}

/// Slowness and failures of a server, as one instance has observed them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PeerHealthReport {
    /// Ratio of the time that requests take on the server to the time that they usually take; 1 means the usual time.
    pub slowness: f64,
    /// Share of the instance's exchanges with the server that failed, from 0 to 1.
    pub failure_share: f64,
}

/// What one instance knows of a server's limit, for the others.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PeerLimitReport {
    /// Server that the report is about.
    pub server: ServerKey,
    /// Limit of the server, or `None` if it takes requests without a limit.
    pub rate: Option<RequestRate>,
    /// Time since the request was sent whose response decided on this.
    pub age: SpanMs,
}
