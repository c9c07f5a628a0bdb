//! The response that exports the metrics.

use std::rc::Rc;

use bytes::Bytes;
use hyper::Response;

use crate::node::Node;
use crate::store::Source;
use crate::upstream::ResponseBody;

/// Updates the gauges and returns the response with all metrics.
#[must_use]
pub fn response(node: &Rc<Node>) -> Response<ResponseBody> {
    let now = node.now();
    {
        let state = node.state.borrow();
        let metrics = &node.metrics;
        let is_relayed = node.store.source() == Source::Relay;
        metrics.uses_relay.set(i64::from(is_relayed));
        metrics.servers.set(state.pool.len() as i64);
        metrics
            .instances
            .set(state.members.usable(now).count() as i64);
        metrics.reach.set(state.reach.reach().as_gauge());
        let indirect = state.reach.indirect_servers();
        metrics.indirect_servers.set(indirect as i64);
        metrics
            .limited_servers
            .set(state.pool.limited().len() as i64);
        let resting = state.pool.resting(now).count();
        metrics.resting_servers.set(resting as i64);
        let leaving = state.pool.leaving().count();
        metrics.leaving_servers.set(leaving as i64);
        let carried = node.carried_tunnels.get();
        metrics.open_carried_tunnels.set(carried as i64);
        metrics.update_team_refusals();
        let earned = node.quotas.pools.borrow_mut().take_earned();
        let tokens = metrics.quota_tokens.with_label_values(&["earned"]);
        tokens.inc_by(earned);
        let evidence_age = node.evidence.age(node.continuous_now());
        let evidence_age_ms = evidence_age.map_or(-1, |age| age.get() as i64);
        metrics.evidence_age_ms.set(evidence_age_ms);
        let age_ms = node.store.age(now).get();
        metrics
            .store_age_ms
            .set(i64::try_from(age_ms).unwrap_or(i64::MAX));
    }
    Response::new(ResponseBody::whole(Bytes::from(node.metrics.text())))
}
