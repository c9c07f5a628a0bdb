//! One client's call as a copy of a request that may crash servers: whether it may run, and when it is withdrawn.
//!
//! While it is unknown whether a request crashes servers, one instance runs one copy of it at a time, as a trial. Other
//! copies wait for its result, and those in flight are withdrawn from their servers.

use core::cell::{Cell, OnceCell};
use core::time::Duration;

use damaskvane_core::time::TimeMs;
use damaskvane_dispatch::home::Home;
use damaskvane_dispatch::quarantine::{CopyDecision, CopyId, RequestIdentity, Scope};

use crate::crashes::{self, Refusal, RefusalReason};
use crate::node::Node;
use crate::upstream::OutgoingRequest;

/// Maximum time for which a copy waits for the result of a trial: longer than a wave of crashes and a run.
const TRIAL_RESULT_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval between two checks of whether a waiting copy may run: the turns of instances change with time.
const TURN_INTERVAL: Duration = Duration::from_millis(25);

/// One client's call. A trial ends when it is dropped.
#[derive(Debug)]
pub struct RequestCopy<'a> {
    node: &'a Node,
    request: &'a OutgoingRequest,
    id: CopyId,
    identity: OnceCell<RequestIdentity>,
    /// Whether the copy has run as a trial.
    is_trial: Cell<bool>,
}

impl<'a> RequestCopy<'a> {
    /// Returns the copy of a client's call.
    #[must_use]
    pub fn new(node: &'a Node, request: &'a OutgoingRequest) -> Self {
        let id = CopyId::new(node.next_exchange_id().0);
        Self {
            node,
            request,
            id,
            identity: OnceCell::new(),
            is_trial: Cell::new(false),
        }
    }

    /// Waits for the results of probes and trials; returns why the copy is refused, or `None` if it may run.
    pub async fn resolve_refusal(&self, deadline: TimeMs) -> Option<Refusal> {
        if self.node.crashes.is_empty() {
            return None;
        }
        let identity = self.identity();
        if let Some(refusal) = crashes::resolve_refusal(self.node, identity).await {
            return Some(refusal);
        }
        if self.decide() == CopyDecision::Hold {
            self.node.metrics.held_requests.inc();
            let remaining = deadline.since(self.node.now()).to_duration() / 2;
            let timeout = TRIAL_RESULT_TIMEOUT.min(remaining);
            let is_held = tokio::time::timeout(timeout, self.until_decided())
                .await
                .is_err();
            if is_held {
                return Some(
                    crashes::current_refusal(self.node, identity).unwrap_or(Refusal {
                        fingerprint: identity.fingerprint(Scope::AnyCaller),
                        remaining: crashes::UNRESOLVED_REFUSAL,
                        reason: RefusalReason::OnTrial,
                    }),
                );
            }
        }
        crashes::current_refusal(self.node, identity)
    }

    /// Waits until the copy may run or is refused.
    async fn until_decided(&self) {
        let identity = self.identity();
        while self.decide() == CopyDecision::Hold
            && crashes::current_refusal(self.node, identity).is_none()
        {
            let changed = self.node.crashes.changed.notified();
            let _ = tokio::time::timeout(TURN_INTERVAL, changed).await;
        }
    }

    /// Waits until the copy may not go on running.
    pub async fn until_withdrawn(&self) {
        while self.decide() != CopyDecision::Hold {
            self.node.crashes.changed.notified().await;
        }
    }

    /// Records that the connection to the copy's server broke.
    pub fn record_broken(&self) {
        let now = self.node.now();
        let mut list = self.node.crashes.list.borrow_mut();
        list.record_copy_broken(now, self.identity(), self.id);
    }

    /// Returns the fingerprints of the request, which are only needed after a crash.
    fn identity(&self) -> &RequestIdentity {
        self.identity.get_or_init(|| self.request.identity())
    }

    fn decide(&self) -> CopyDecision {
        let mut list = self.node.crashes.list.borrow_mut();
        if list.is_empty() {
            return CopyDecision::Run;
        }
        let own = Home::new(self.node.settings().instance.clone(), self.node.incarnation);
        let decision = list.decide_copy(self.node.now(), &own, self.identity(), self.id);
        if decision == CopyDecision::RunAsTrial && !self.is_trial.replace(true) {
            self.node.metrics.trials.inc();
        }
        decision
    }
}

impl Drop for RequestCopy<'_> {
    fn drop(&mut self) {
        let mut list = self.node.crashes.list.borrow_mut();
        if !list.is_empty() && list.record_copy_end(self.identity(), self.id) {
            self.node.crashes.changed.notify_waiters();
        }
    }
}
