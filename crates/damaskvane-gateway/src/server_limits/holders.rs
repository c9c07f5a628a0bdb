//! The instances that share the tokens of a server.

use std::rc::Rc;

use damaskvane_core::ids;
use damaskvane_routing::pool::ServerKey;
use damaskvane_routing::quota::{Holder, ServerLimitSettings, ShareTerms};

use crate::node::Node;

/// The holders of a server's tokens, in the order in which they are asked.
#[derive(Debug)]
pub(super) struct Holders(Vec<Holder>);

impl Holders {
    /// Returns the holders; none for a server that this instance does not know.
    pub(super) fn of(node: &Node, server: ServerKey) -> Self {
        let Some(home) = zone_of(node, server) else {
            return Self(Vec::new());
        };
        let table = Rc::clone(&node.quotas.holders.borrow());
        let settings = node.settings();
        let regions = &settings.regions;
        let is_in_home_region =
            |zone: &ids::AvailabilityZoneId| regions.get(zone) == regions.get(&home);
        let zones = table.server_zones(server, &home, is_in_home_region);
        let max_holders = ServerLimitSettings::default().max_holders;
        let holders = table.server_holders(server, zones, max_holders);
        Self(holders.into_iter().cloned().collect())
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Holder> {
        self.0.iter()
    }

    /// Returns the position of an instance in the order, or `None` if it is no holder.
    pub(super) fn position(&self, instance: &ids::InstanceId) -> Option<usize> {
        self.0.iter().position(|one| one.instance == *instance)
    }

    /// Returns how fast the tokens are earned, or `None` if the server is not known to have a limit.
    pub(super) fn terms(&self, node: &Node, server: ServerKey) -> Option<ShareTerms> {
        let gone = self.iter().filter(|one| !is_alive(node, one)).count();
        let state = node.state.borrow();
        let limit = state.pool.by_key(server)?.availability.limit.rate()?;
        Some(ServerLimitSettings::default().terms(limit, self.0.len(), gone))
    }
}

/// Returns whether a holder is this instance or has sent a heartbeat lately.
pub(super) fn is_alive(node: &Node, holder: &Holder) -> bool {
    let now = node.now();
    let is_own = holder.instance == node.settings().instance;
    let state = node.state.borrow();
    is_own || state.members.is_alive(now, &holder.instance)
}

fn zone_of(node: &Node, server: ServerKey) -> Option<ids::AvailabilityZoneId> {
    let state = node.state.borrow();
    let server = state.pool.by_key(server)?;
    Some(server.entry.zone.clone())
}
