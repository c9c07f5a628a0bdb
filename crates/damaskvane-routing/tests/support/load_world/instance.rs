//! An instance of the model, and the ways in which it chooses.

use damaskvane_core::ids;
use damaskvane_routing::configuration::{Configuration, Route};
use damaskvane_routing::placement::{Choice, Pick, PlacementRequest, Placer};
use damaskvane_routing::pool::ServerPool;

use super::demand::Call;
use crate::support::at;

/// How instances choose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// By the object's first servers, as before.
    Today,
    /// By the expected room, where the object is not expected to be warm.
    Even,
    /// The less loaded of two servers at random, by the same reports.
    TwoAtRandom,
}

pub struct Instance {
    pub pool: ServerPool,
    pub placer: Placer,
    pub zone: &'static str,
}

impl Instance {
    pub fn choose(
        &mut self,
        way: Way,
        call: &Call,
        (configuration, route, service): (&Configuration, &Route, &ids::ServiceId),
        servers: &[ids::BackendServerId],
        instances: usize,
    ) -> Option<Pick> {
        let request = PlacementRequest {
            route,
            team: None,
            service,
            object: Some(call.object),
            tried: &[],
            remaining_ms: route.timeout_ms,
            spread: call.draw,
        };
        let now = at(call.at_ms);
        let choice = self
            .placer
            .choose(now, &self.pool, configuration, &request, instances);
        let Choice::Send(mut pick) = choice else {
            return None;
        };
        if way == Way::TwoAtRandom {
            let first = (call.draw * servers.len() as f64) as usize;
            let second = (call.draw * 1e6) as usize % servers.len();
            let load = |index: &usize| {
                let server = self.pool.server(&servers[*index]).expect("a known server");
                server.load(now) / f64::from(server.entry.slots)
            };
            let index = if load(&first) <= load(&second) {
                first
            } else {
                second
            };
            let server = self.pool.server(&servers[index]).expect("a known server");
            pick.server = servers[index].clone();
            pick.zone = server.entry.zone.clone();
            pick.rank = 1;
        }
        Some(pick)
    }
}
