//! Which entry instances look-ups may name.
//!
//! ```
//! use damaskvane_entry::translate;
//!
//! assert!(translate::entry_points([].iter()).is_empty());
//! ```

use std::collections::BTreeMap;

use damaskvane_core::ids;
use damaskvane_platform::api;

use crate::serving;

/// The instances that are not leaving, by zone.
#[must_use]
pub fn entry_points<'a>(
    records: impl Iterator<Item = &'a api::InstanceRecord>,
) -> BTreeMap<ids::AvailabilityZoneId, Vec<serving::EntryPoint>> {
    let mut points: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for record in records.filter(|record| !record.leaving) {
        points
            .entry(record.availability_zone.clone())
            .or_default()
            .push(serving::EntryPoint {
                instance: record.instance.clone(),
                incarnation: record.incarnation,
                client_address: record.client_address.to_string(),
            });
    }
    points
}
