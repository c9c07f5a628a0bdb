//! Who sends heartbeats to whom, and how often.
//!
//! Up to a limit all instances of a zone hear each other. In a larger zone each hears its nearest
//! neighbours on a ring, on both sides, so that hearing is always mutual. The period grows with the
//! number of neighbours, so that each instance sends as many heartbeats a second in a small zone as in a
//! large one: small zones notice a death in 3 s, and large ones stay within their budget.
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

/// The time between two rounds of heartbeats to so many neighbours.
#[must_use]
pub fn period(neighbours: usize, settings: &MembershipSettings) -> time::SpanMs {
    let per_second = u64::from(settings.heartbeats_per_second).max(1);
    let wanted_ms = (neighbours as u64 * MS_PER_SECOND).div_ceil(per_second);
    time::SpanMs::new(wanted_ms.clamp(settings.min_period_ms.get(), settings.max_period_ms.get()))
}

/// The instances of a zone with which `own` exchanges heartbeats.
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
