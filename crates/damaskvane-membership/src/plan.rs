//! Selection of heartbeat neighbours, and the heartbeat period.
//!
//! The neighbours of an instance are the instances of its zone with which it exchanges heartbeats. If a
//! zone has at most `mesh_limit` other instances, all instances exchange heartbeats with each other. In
//! a larger zone each instance exchanges heartbeats with its nearest neighbours on both sides of a
//! ring, which makes the relation mutual. The period grows with the number of neighbours, so that each
//! instance sends as many heartbeats a second in a small zone as in a large one: small zones detect
//! within 3 s that an instance has stopped sending heartbeats, and large zones stay within their
//! message budget.
//!
//! ```
//! use damaskvane_membership::{plan, settings};
//!
//! let settings = settings::MembershipSettings::default();
//! assert_eq!(plan::period(1, &settings).get(), 250);
//! assert_eq!(plan::period(17, &settings).get(), 3_400);
//! ```

use std::collections::BTreeSet;

use damaskvane_core::{ids, time};

use crate::settings::MembershipSettings;

const MS_PER_SECOND: u64 = 1_000;

/// Returns the time between two rounds of heartbeats of an instance that has this number of neighbours.
#[must_use]
pub fn period(neighbours: usize, settings: &MembershipSettings) -> time::SpanMs {
    let per_second = u64::from(settings.heartbeats_per_second).max(1);
    let needed_ms = (neighbours as u64 * MS_PER_SECOND).div_ceil(per_second);
    time::SpanMs::new(needed_ms.clamp(settings.min_period_ms.get(), settings.max_period_ms.get()))
}

/// Returns the instances of `zone` with which `own` exchanges heartbeats.
#[must_use]
pub fn neighbours(
    own: &ids::InstanceId,
    zone: impl IntoIterator<Item = ids::InstanceId>,
    settings: &MembershipSettings,
) -> BTreeSet<ids::InstanceId> {
    let mut ring: BTreeSet<ids::InstanceId> = zone.into_iter().collect();
    ring.remove(own);
    if ring.len() <= settings.mesh_limit {
        return ring;
    }
    let side = settings.mesh_limit / 2;
    let after = ring.range(own.clone()..).chain(ring.iter()).take(side);
    let before = ring
        .range(..own.clone())
        .rev()
        .chain(ring.iter().rev())
        .take(side);
    after.chain(before).cloned().collect()
}
