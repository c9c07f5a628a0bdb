//! The latest report of every zone about its load and capacity, and the unreachable zones.
//!
//! ```
//! use damaskvane_steering::digest;
//!
//! assert!(digest::View::default().digests().next().is_none());
//! ```

use std::collections::{BTreeMap, BTreeSet};

use damaskvane_core::{ids, time};

use crate::digest::zone::ZoneDigest;
use crate::staleness;

/// The latest report of every zone, and the unreachable zones.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct View {
    digests: BTreeMap<ids::AvailabilityZoneId, ZoneDigest>,
    unreachable: BTreeSet<ids::AvailabilityZoneId>,
}

impl View {
    /// Stores a report unless the view holds the same or a later report of the zone, and returns
    /// whether the report was stored.
    ///
    /// A zone whose reporting has stalled sends the same report repeatedly. If each arrival renewed
    /// the report's age, the planner would steer by the report indefinitely, so only a higher
    /// sequence number counts as a new report. The caller has to reject a report whose time lies
    /// further in the future than a clock error can explain.
    pub fn apply_digest(&mut self, report: ZoneDigest) -> bool {
        let stored = self.digests.get(&report.zone);
        if stored.is_some_and(|stored| stored.sequence >= report.sequence) {
            return false;
        }
        self.digests.insert(report.zone.clone(), report);
        true
    }

    /// Removes a zone's report, so that reports are accepted again after the zone's sequence
    /// numbers restart.
    pub fn remove(&mut self, zone: &ids::AvailabilityZoneId) {
        self.digests.remove(zone);
    }

    /// Sets whether a zone is unreachable, that is, does not respond to heartbeats.
    pub fn set_unreachable(&mut self, zone: &ids::AvailabilityZoneId, unreachable: bool) {
        if unreachable {
            self.unreachable.insert(zone.clone());
        } else {
            self.unreachable.remove(zone);
        }
    }

    /// Returns whether a zone responds to heartbeats.
    #[must_use]
    pub fn reachability(&self, zone: &ids::AvailabilityZoneId) -> staleness::Reachability {
        if self.unreachable.contains(zone) {
            staleness::Reachability::Unreachable
        } else {
            staleness::Reachability::Connected
        }
    }

    /// Returns the latest report of a zone.
    #[must_use]
    pub fn digest(&self, zone: &ids::AvailabilityZoneId) -> Option<&ZoneDigest> {
        self.digests.get(zone)
    }

    /// Returns the latest reports in order of zone id.
    pub fn digests(&self) -> impl Iterator<Item = &ZoneDigest> {
        self.digests.values()
    }

    /// Returns the age class of a zone's latest report.
    #[must_use]
    pub fn age(
        &self,
        zone: &ids::AvailabilityZoneId,
        limits: staleness::Limits,
        now: time::TimeMs,
    ) -> staleness::Age {
        let taken_at = self.digest(zone).map(|stored| stored.taken_at);
        limits.age(taken_at, now)
    }
}
