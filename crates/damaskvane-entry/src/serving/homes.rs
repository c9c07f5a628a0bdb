//! The homes that instances have renewed for their keys, for look-up answers.
//!
//! The engine's thread notes them, the control thread reads them when it builds the next answers.
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

/// The latest home of each instance that has renewed one.
#[derive(Debug, Default)]
pub struct RenewedHomes(Mutex<BTreeMap<ids::InstanceId, ids::Incarnation>>);

impl RenewedHomes {
    /// Notes a renewed home.
    pub fn record(&self, home: home::Home) {
        let mut homes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let latest = homes.entry(home.instance).or_default();
        *latest = home.incarnation.max(*latest);
    }

    /// The incarnation that look-ups name for an instance whose process has that one.
    ///
    /// A later start has a higher incarnation than any that an earlier one reached by renewals, which
    /// count up one by one from its milliseconds of the wall clock.
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
