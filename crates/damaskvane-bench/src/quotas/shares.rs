//! Equal shares: each instance has its part of each quota, and no message is sent.

use damaskvane_core::time::TimeMs;
use damaskvane_routing::quota::{MOST_URGENT, TokenPools};
use damaskvane_routing::teams::TeamKey;
use rand_pcg::Pcg64Mcg;

use crate::quotas::case::Case;
use crate::quotas::way::{Asked, Decided, Way};

#[derive(Debug)]
pub(super) struct Shares {
    instances: Vec<TokenPools>,
}

impl Shares {
    pub(super) fn new(case: &Case) -> Self {
        let settings = Case::bound(case.instances);
        let instances = (0..case.instances).map(|_| TokenPools::new(settings, TimeMs::ZERO));
        Self {
            instances: instances.collect(),
        }
    }
}

impl Way for Shares {
    fn ask(&mut self, _: &mut Pcg64Mcg, now_ms: u64, asked: Asked) -> Option<Decided> {
        let pools = &mut self.instances[asked.instance];
        let taken = pools.take(
            TimeMs::new(now_ms),
            TeamKey(asked.team as u64),
            asked.quota,
            MOST_URGENT,
        );
        Some(Decided {
            number: asked.number,
            team: asked.team,
            is_admitted: taken.is_ok(),
        })
    }

    fn advance(&mut self, _: &mut Pcg64Mcg, _: u64) -> Vec<Decided> {
        Vec::new()
    }

    fn restart(&mut self, now_ms: u64, instance: usize) {
        let settings = Case::bound(self.instances.len());
        self.instances[instance] = TokenPools::new(settings, TimeMs::new(now_ms));
    }

    fn bytes(&self) -> (u64, u64) {
        (0, 0)
    }
}
