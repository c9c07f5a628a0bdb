//! Homes of idempotency keys that instances have renewed, for lookup responses.
//!
//! The home of a key is the instance that handles all attempts with the key, and the instance's
//! incarnation, a number that identifies one start of its process. An instance renews its home by raising
//! its incarnation while its process runs. The engine thread records renewed homes. The control thread
//! reads them when it builds the next snapshot for lookups.
//!
//! ```
//! use damaskvane_core::ids;
//! use damaskvane_entry::serving;
//!
//! let homes = serving::RenewedHomes::default();
//! homes.record("e-1/8".parse()?);
//! assert_eq!(homes.latest(&"e-1".parse()?, ids::Incarnation::new(7)).get(), 8);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use damaskvane_core::ids;
use damaskvane_dispatch::home;

/// Latest incarnation of each instance that has renewed its home.
#[derive(Debug, Default)]
pub struct RenewedHomes(Mutex<BTreeMap<ids::InstanceId, ids::Incarnation>>);

impl RenewedHomes {
    /// Records a renewed home; an incarnation older than the recorded one is ignored.
    pub fn record(&self, home: home::Home) {
        let mut homes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let latest = homes.entry(home.instance).or_default();
        *latest = home.incarnation.max(*latest);
    }

    /// Returns the incarnation that lookup responses name for an instance; `process` is the incarnation
    /// that its process started with.
    ///
    /// A process starts with the wall clock in milliseconds as its incarnation, and each renewal adds one.
    /// A restarted process therefore has a higher incarnation than all renewals of the previous process.
    #[must_use]
    pub fn latest(
        &self,
        instance: &ids::InstanceId,
        process: ids::Incarnation,
    ) -> ids::Incarnation {
        let homes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        homes
            .get(instance)
            .copied()
            .unwrap_or_default()
            .max(process)
    }
}
