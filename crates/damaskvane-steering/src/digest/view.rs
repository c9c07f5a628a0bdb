//! The latest report of every zone, and which zones are out of reach.
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

/// The latest report of every zone, and which zones are out of reach.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct View {
    digests: BTreeMap<ids::AvailabilityZoneId, ZoneDigest>,
    cut_off: BTreeSet<ids::AvailabilityZoneId>,
}

impl View {
    /// Takes a report in, unless the view holds the same or a later one.
    ///
    /// A frozen reporter sends the same numbers again and again; if each arrival made them young, the
    /// planner would steer by them for ever. Only a higher sequence counts as news, and a report
    /// that claims to be taken later than a clock can explain is the caller's to reject.
    pub fn apply_digest(&mut self, report: ZoneDigest) -> bool {
        let held = self.digests.get(&report.zone);
        if held.is_some_and(|held| held.sequence >= report.sequence) {
            return false;
        }
        self.digests.insert(report.zone.clone(), report);
        true
    }

    /// Forgets a zone's report, so that a restarted sequence is taken in again.
    pub fn remove(&mut self, zone: &ids::AvailabilityZoneId) {
        self.digests.remove(zone);
    }

    /// Says whether a zone answers heartbeats.
    pub fn set_unreachable(&mut self, zone: &ids::AvailabilityZoneId, cut_off: bool) {
        if cut_off {
            self.cut_off.insert(zone.clone());
        } else {
            self.cut_off.remove(zone);
        }
    }

    /// Whether a zone answers heartbeats.
    #[must_use]
    pub fn reachability(&self, zone: &ids::AvailabilityZoneId) -> staleness::Reachability {
        if self.cut_off.contains(zone) {
            staleness::Reachability::Unreachable
        } else {
            staleness::Reachability::Connected
        }
    }

    /// The latest report of a zone.
    #[must_use]
    pub fn digest(&self, zone: &ids::AvailabilityZoneId) -> Option<&ZoneDigest> {
        self.digests.get(zone)
    }

    /// The latest reports, in order of zone.
    pub fn digests(&self) -> impl Iterator<Item = &ZoneDigest> {
        self.digests.values()
    }

    /// How old the latest report of a zone is.
    #[must_use]
    pub fn age(
        &self,
        zone: &ids::AvailabilityZoneId,
        limits: staleness::Limits,
        now: time::TimeMs,
    ) -> staleness::Age {
        let taken_at = self.digest(zone).map(|held| held.taken_at);
        limits.age(taken_at, now)
    }
}
