//! Data that a request at an entry instance carries through the states received, admitted and sent.

use damaskvane_core::{ids, time};

use crate::deadline;
use crate::exchange::answered;
use crate::home;
use crate::outcome;
use crate::refusal;

/// The request id, the permit to run the request, and whether it may have run already.
#[derive(Debug)]
pub(super) struct RequestContext {
    pub(super) request: ids::RequestId,
    pub(super) deadline: deadline::Deadline,
    /// The permit to run a non-repeatable request once; absent for a repeatable request, which needs none.
    pub(super) permit: Option<home::DispatchPermit>,
    pub(super) may_have_run: bool,
    pub(super) tried: Vec<ids::BackendServerId>,
}

impl RequestContext {
    pub(super) const fn is_repeatable(&self) -> bool {
        self.permit.is_none()
    }

    pub(super) fn refuse<A>(
        self,
        reason: refusal::RefusalReason,
        retry_after: time::SpanMs,
    ) -> answered::Answered<A> {
        let outcome = if !reason.means_not_run() {
            outcome::Outcome::unknown(reason)
        } else if self.may_have_run {
            outcome::Outcome::unknown(refusal::RefusalReason::OutcomeLost)
        } else {
            outcome::Outcome::NotRun(outcome::NotRun::new(reason, retry_after))
        };
        self.answer(outcome)
    }

    pub(super) fn answer<A>(self, outcome: outcome::Outcome<A>) -> answered::Answered<A> {
        answered::Answered::new(self.request, self.permit, outcome)
    }
}
