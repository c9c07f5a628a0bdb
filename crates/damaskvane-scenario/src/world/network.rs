//! The fake network, which delays, loses and duplicates messages and cuts links.
//!
//! ```text
//! (from, to) -> no delay (message lost, link cut), one delay, or two (message duplicated)
//! ```

use std::collections::BTreeSet;

use damaskvane_core::{ids, time};
use rand::RngExt;

use crate::world::World;

/// The cut links between two instances, or an instance and the platform, in both directions.
#[derive(Debug, Default)]
pub(super) struct Network {
    cuts: BTreeSet<(ids::InstanceId, ids::InstanceId)>,
}

impl Network {
    fn pair(a: &ids::InstanceId, b: &ids::InstanceId) -> (ids::InstanceId, ids::InstanceId) {
        let first = a.min(b).clone();
        let second = a.max(b).clone();
        (first, second)
    }

    pub(super) fn cut(&mut self, a: &ids::InstanceId, b: &ids::InstanceId) {
        self.cuts.insert(Self::pair(a, b));
    }

    pub(super) fn heal(&mut self, a: &ids::InstanceId, b: &ids::InstanceId) {
        self.cuts.remove(&Self::pair(a, b));
    }

    pub(super) fn heal_all(&mut self) {
        self.cuts.clear();
    }

    pub(super) fn is_cut(&self, a: &ids::InstanceId, b: &ids::InstanceId) -> bool {
        self.cuts.contains(&Self::pair(a, b))
    }
}

impl World {
    /// Returns the delay of each copy of one message that arrives; empty if the message is lost.
    pub(super) fn message_delays(
        &mut self,
        from: &ids::InstanceId,
        to: &ids::InstanceId,
    ) -> Vec<time::SpanMs> {
        if self.network.is_cut(from, to) || self.is_chosen(self.settings.loss_permille) {
            return Vec::new();
        }
        let mut delays = vec![self.random_delay()];
        if self.is_chosen(self.settings.duplicated_permille) {
            delays.push(self.random_delay());
        }
        delays
    }

    pub(super) fn random_delay(&mut self) -> time::SpanMs {
        let min = self.settings.delay.get();
        self.random_ms(min, min + self.settings.jitter.get())
    }

    fn is_chosen(&mut self, permille: u32) -> bool {
        permille > 0 && self.rng.random_range(0..1_000) < permille
    }
}
