//! The forwarding of non-repeatable requests to their home, and of the home's responses to the client.
//!
//! The home of a non-repeatable request is the instance, and one incarnation (start or renewal) of it, that
//! alone may run the request.
//!
//! ```text
//! client -> this instance -> home (or its successor) -> this instance -> client
//! ```

use std::sync::Arc;

use damaskvane_core::time;
use damaskvane_dispatch::{deadline, exchange, home};

use crate::engine::Engine;
use crate::engine::pending::{LocalId, Origin, Stage};
use crate::event::Action;
use crate::{message, peer};

impl Engine {
    pub(super) fn forward(
        &mut self,
        now: time::TimeMs,
        origin: Origin,
        request: Arc<message::ServiceRequest>,
        deadline: deadline::Deadline,
        home: home::Home,
        hops: u32,
    ) {
        let forwarded = exchange::Forwarded::new(request.request_id.clone());
        if hops >= self.settings.max_hops || !self.can_reach(&home) {
            self.finish(now, Some(origin), forwarded.unreachable());
            return;
        }
        let mut forwarded_request = (*request).clone();
        forwarded_request.time_left = deadline.time_left(now);
        let stage = Stage::Forwarded {
            forwarded,
            to: home.clone(),
        };
        let id = self.insert(origin, request, deadline, stage);
        let forward = peer::Forward {
            correlation: id.0,
            hops: hops + 1,
            request: forwarded_request,
        };
        self.actions.push(Action::Send {
            to: home.instance,
            message: Box::new(peer::PeerMessage::Forward(forward)),
        });
    }

    fn can_reach(&self, home: &home::Home) -> bool {
        self.directory
            .instances
            .get(&home.instance)
            .is_some_and(|peer| peer.reachability.takes_messages())
    }

    pub(super) fn handle_forward(
        &mut self,
        now: time::TimeMs,
        from: &home::Home,
        forward: peer::Forward,
    ) {
        let origin = Origin::Peer {
            forwarder: from.clone(),
            correlation: forward.correlation,
            request_id: forward.request.request_id.clone(),
        };
        self.submit(now, origin, forward.request, forward.hops);
    }

    /// Handles the response to a forwarded request. A response is accepted only from the instance that got the
    /// request; a response from another instance, a duplicate, or one after the deadline is dropped.
    ///
    /// A response to a request of an earlier process of this instance is dropped as well. Its number now belongs
    /// to another request, whose client would get the confirmation of another client's request.
    pub(super) fn handle_forward_response(
        &mut self,
        now: time::TimeMs,
        from: &home::Home,
        response: peer::ForwardResponse,
    ) {
        let id = LocalId(response.correlation);
        let is_expected = self.requests.get(&id).is_some_and(|pending| {
            matches!(&pending.stage, Stage::Forwarded { to, .. } if to.instance == from.instance)
        });
        if !is_expected || response.forwarder != self.own_home {
            return;
        }
        let Some(pending) = self.requests.remove(&id) else {
            return;
        };
        if let Stage::Forwarded { forwarded, .. } = pending.stage {
            let answered = forwarded.answered(&response.request_id, response.outcome);
            self.finish(now, pending.origin, answered);
        }
    }

    /// Ends the requests that were forwarded to instances that can no longer be reached, because no response
    /// will arrive.
    pub(super) fn fail_unreachable_forwards(&mut self, now: time::TimeMs) {
        let lost: Vec<LocalId> = self
            .requests
            .iter()
            .filter(|(_, pending)| match &pending.stage {
                Stage::Forwarded { to, .. } => !self.can_reach(to),
                _ => false,
            })
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            let Some(pending) = self.requests.remove(&id) else {
                continue;
            };
            if let Stage::Forwarded { forwarded, .. } = pending.stage {
                self.finish(now, pending.origin, forwarded.unreachable());
            }
        }
    }
}
