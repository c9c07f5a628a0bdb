//! Ways of messages: how long they take, which are lost or doubled, which are cut.
//!
//! ```text
//! (from, to) -> no way (lost, cut), one delay, or two (doubled)
//! ```

use std::collections::BTreeSet;

use damaskvane_core::{ids, time};
use rand::RngExt;

use crate::world::World;

/// The cuts between two, in both directions.
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
    /// The delays of the copies of one message that arrive.
    pub(super) fn ways(
        &mut self,
        from: &ids::InstanceId,
        to: &ids::InstanceId,
    ) -> Vec<time::SpanMs> {
        if self.network.is_cut(from, to) || self.is_hit(self.settings.loss_permille) {
            return Vec::new();
        }
        let mut ways = vec![self.way()];
        if self.is_hit(self.settings.duplicated_permille) {
            ways.push(self.way());
        }
        ways
    }

    pub(super) fn way(&mut self) -> time::SpanMs {
        let least = self.settings.delay.get();
        self.random_ms(least, least + self.settings.jitter.get())
    }

    fn is_hit(&mut self, permille: u32) -> bool {
        permille > 0 && self.rng.random_range(0..1_000) < permille
    }
}
