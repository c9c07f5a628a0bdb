//! Decides whether an overdue request is also sent to a second server (a hedged request).
//!
//! The speed of a machine that runs other programs as well isn't known before a request is sent. The instance notices that
//! a response is overdue while another server can still respond within the objective.

use damaskvane_core::time::SpanMs;
use serde::Deserialize;

use crate::configuration::Route;
use crate::placement::Pick;
use crate::pool::ExchangeEnd;
use crate::retry::Progress;

/// Load at the second server, in requests per slot, from which it gets no second copy: where servers queue, further
/// requests make all of them later.
const MAX_LOAD: f64 = 0.8;
/// Share of the objective before which no second copy is sent. A request of a fast route is still in time on the slowest
/// machine, so its second copy would only use up the budget.
const MIN_USED_SHARE: f64 = 0.25;

/// Settings of second copies of requests.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default)]
pub struct SecondCopySettings {
    /// Whether overdue requests are sent to a second server.
    pub enabled: bool,
    /// Multiple of the request's usual time at its server after which the response is overdue.
    pub overdue_factor: f64,
    /// Largest share of the service's retry budget that second copies may use.
    pub budget_share: f64,
}

impl Default for SecondCopySettings {
    fn default() -> Self {
        Self {
            enabled: false,
            overdue_factor: 1.35,
            budget_share: 0.5,
        }
    }
}

/// The reason why an overdue request gets no second copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// The request may not be sent a second time, or is not overdue.
    NotDue,
    /// The only server found is the one that has the request already.
    SameServer,
    /// The second server has too many requests.
    Busy,
    /// The second server is not expected to respond within the objective.
    TooLate,
}

/// A request with one exchange in progress that may get a second copy.
#[derive(Debug, Clone, Copy)]
pub struct OverdueRequest<'a> {
    /// Route of the request.
    pub route: &'a Route,
    /// The exchanges that have ended.
    pub progress: &'a Progress,
    /// The server of the exchange in progress.
    pub first: &'a Pick,
    /// Time since the client's request arrived.
    pub used: SpanMs,
    /// Time since the exchange began.
    pub lasted: SpanMs,
    /// Time until the request's deadline.
    pub remaining: SpanMs,
    /// Whether the server of the exchange reports its speed, as servers on shared machines do.
    pub reports_speed: bool,
    /// Whether a server may have crashed because of the request.
    pub has_crash_evidence: bool,
    /// Whether the instance is stopping.
    pub is_stopping: bool,
}

impl OverdueRequest<'_> {
    /// Returns the time until the response is overdue, or `None` if the request gets no second copy at all.
    #[must_use]
    pub fn due_in(&self, settings: &SecondCopySettings) -> Option<SpanMs> {
        let may_be_sent = settings.enabled
            && self.reports_speed
            && !self.has_crash_evidence
            && !self.is_stopping
            && self.may_reach_another_server();
        let due_in_ms = self
            .overdue_after_ms(settings)
            .saturating_sub(self.lasted.get());
        let due_at_ms = self.used.get().saturating_add(due_in_ms);
        (may_be_sent && due_at_ms < self.route.objective_ms).then_some(SpanMs::new(due_in_ms))
    }

    /// Checks that the request may be sent to `second` now.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request gets no second copy.
    pub fn check(&self, settings: &SecondCopySettings, second: &Pick) -> Result<(), Denial> {
        if self.due_in(settings) != Some(SpanMs::ZERO) {
            return Err(Denial::NotDue);
        }
        if second.server == self.first.server {
            return Err(Denial::SameServer);
        }
        if second.load >= MAX_LOAD {
            return Err(Denial::Busy);
        }
        let left_ms = self.route.objective_ms.saturating_sub(self.used.get());
        let left_ms = left_ms.min(self.remaining.get()) as f64;
        if second.expected_ms > left_ms {
            return Err(Denial::TooLate);
        }
        Ok(())
    }

    /// Returns whether the route allows one server more beside that of the exchange in progress.
    ///
    /// A request that was withdrawn from a server was suspected of crashing servers.
    fn may_reach_another_server(&self) -> bool {
        let mut with_first = self.progress.clone();
        with_first.record(ExchangeEnd::Abandoned, SpanMs::ZERO);
        with_first.may_try_again() && !self.progress.was_withdrawn
    }

    fn overdue_after_ms(&self, settings: &SecondCopySettings) -> u64 {
        let usual_ms = if self.first.was_sent || self.first.is_warm {
            self.first.remembered_ms
        } else {
            self.first.first_ms
        };
        let overdue_ms = usual_ms * settings.overdue_factor;
        let min_ms = self.route.objective_ms as f64 * MIN_USED_SHARE;
        overdue_ms.max(min_ms).ceil() as u64
    }
}
