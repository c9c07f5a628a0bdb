//! Second copies of overdue requests (hedged requests): one is sent to another server while the first is in progress.
//!
//! `damaskvane_routing::retry` decides; this module takes the permissions and runs both exchanges.

use core::time::Duration;
use std::rc::Rc;

use damaskvane_core::time::SpanMs;
use damaskvane_routing::placement::Pick;
use damaskvane_routing::pool::{ExchangeEnd, Liveness, Server};
use damaskvane_routing::retry::OverdueRequest;

use crate::clients::routed_request::{Attempt, RoutedRequest, RunningAttempt, remaining};
use crate::clients::send_right::SendRight;
use crate::node::Node;
use crate::send_permit::SendPermit;
use crate::upstream::ExchangeOutcome;

/// Largest number of requests of this instance with two copies: each holds a body, a connection and a response.
const MAX_SECOND_COPIES: usize = 32;
/// Time for the permissions of a second copy, which other instances of the zone may have to grant.
const PERMISSIONS_TIMEOUT: Duration = Duration::from_millis(50);

/// Which of two copies of a request an exchange carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CopyRole {
    First,
    Second,
}

impl CopyRole {
    /// Returns the value in the log.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Second => "second",
        }
    }
}

/// What became of a second copy.
#[derive(Debug, Clone, Copy)]
enum CopyOutcome {
    Won,
    Lost,
    Failed,
    Denied,
}

impl CopyOutcome {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Won => "won",
            Self::Lost => "lost",
            Self::Failed => "failed",
            Self::Denied => "denied",
        }
    }
}

/// What a request's only exchange came to until a second copy was due.
pub(super) enum Waited<'a> {
    /// The exchange has ended.
    Ended(Box<ExchangeOutcome>),
    /// A second copy is sent.
    Copied(RunningCopy<'a>),
    /// The exchange goes on without a second copy.
    Alone,
}

/// A second copy whose permissions were taken.
pub(super) struct RunningCopy<'a> {
    running: RunningAttempt<'a>,
    counted: CountedCopy,
}

/// An exchange whose response isn't needed any more. It ends by itself, since breaking it off would waste the server's
/// work and the connection.
pub(super) struct LeftBehind<'a> {
    running: RunningAttempt<'a>,
    _counted: CountedCopy,
}

/// Counts a request as one with two copies until it is dropped.
struct CountedCopy(Rc<Node>);

impl CountedCopy {
    fn new(node: &Rc<Node>) -> Self {
        node.second_copies.set(node.second_copies.get() + 1);
        Self(Rc::clone(node))
    }
}

impl Drop for CountedCopy {
    fn drop(&mut self) {
        let copies = &self.0.second_copies;
        copies.set(copies.get().saturating_sub(1));
    }
}

impl<'a> RoutedRequest<'a> {
    /// Waits for the end of the first exchange until a second copy is due and permitted.
    pub(super) async fn await_or_copy(&mut self, first: &mut RunningAttempt<'a>) -> Waited<'a> {
        let settings = self.node.settings().second_copies;
        let Some(due_in) = self.overdue(&first.attempt).due_in(&settings) else {
            return Waited::Alone;
        };
        let due_in = due_in.to_duration();
        if let Ok(outcome) = tokio::time::timeout(due_in, first.exchange.as_mut()).await {
            return Waited::Ended(Box::new(outcome));
        }
        let Some(second) = self.choose_second(&first.attempt) else {
            self.count_copy(CopyOutcome::Denied);
            return Waited::Alone;
        };
        let permissions = self.take_permissions(second);
        let taken = tokio::select! {
            biased;
            outcome = first.exchange.as_mut() => return Waited::Ended(Box::new(outcome)),
            taken = tokio::time::timeout(PERMISSIONS_TIMEOUT, permissions) => taken.ok().flatten(),
        };
        let sent = taken.and_then(|taken| self.start_second(&first.attempt, taken));
        let Some(running) = sent else {
            self.count_copy(CopyOutcome::Denied);
            return Waited::Alone;
        };
        first.attempt.role = Some(CopyRole::First);
        Waited::Copied(RunningCopy {
            running,
            counted: CountedCopy::new(self.node),
        })
    }

    /// Runs both exchanges; the first response that is a success ends the wait.
    ///
    /// Returns how the attempts ended, which is recorded; `None` if the request's deadline passes.
    pub(super) async fn run_both(
        &mut self,
        mut first: RunningAttempt<'a>,
        second: RunningCopy<'a>,
    ) -> Option<ExchangeOutcome> {
        let RunningCopy {
            running: mut second,
            counted,
        } = second;
        let either = async {
            tokio::select! {
                biased;
                outcome = first.exchange.as_mut() => (outcome, CopyRole::First),
                outcome = second.exchange.as_mut() => (outcome, CopyRole::Second),
            }
        };
        let either = tokio::time::timeout(remaining(self.node, self.deadline), either).await;
        let Ok((mut earlier, role)) = either else {
            self.count_copy(CopyOutcome::Failed);
            let servers = [first, second].map(|one| one.attempt.pick.server);
            self.tried.extend(servers);
            return None;
        };
        let (ended, mut other) = match role {
            CopyRole::First => (first, second),
            CopyRole::Second => (second, first),
        };
        self.record_ended(&ended.attempt, &mut earlier);
        if earlier.end == ExchangeEnd::Answered {
            self.count_copy(match role {
                CopyRole::First => CopyOutcome::Lost,
                CopyRole::Second => CopyOutcome::Won,
            });
            other.attempt.is_left_behind = true;
            self.left_behind = Some(LeftBehind {
                running: other,
                _counted: counted,
            });
            return Some(earlier);
        }
        let remaining_time = remaining(self.node, self.deadline);
        let later = tokio::time::timeout(remaining_time, other.exchange.as_mut()).await;
        let has_answered = matches!(&later, Ok(outcome) if outcome.end == ExchangeEnd::Answered);
        self.count_copy(if has_answered && role == CopyRole::First {
            CopyOutcome::Won
        } else {
            CopyOutcome::Failed
        });
        let Ok(mut later) = later else {
            self.tried.push(other.attempt.pick.server);
            return None;
        };
        self.record_ended(&other.attempt, &mut later);
        // The retry that follows an exchange in which the request was written takes from the budget.
        let is_later = was_written(&later) || !was_written(&earlier);
        Some(if is_later { later } else { earlier })
    }

    /// Waits for the end of the exchange whose response isn't needed, and records what it shows of its server.
    pub(super) async fn finish_left_behind(&mut self) {
        let Some(LeftBehind { running, _counted }) = self.left_behind.take() else {
            return;
        };
        let remaining_time = remaining(self.node, self.deadline);
        let ended = tokio::time::timeout(remaining_time, running.exchange).await;
        if let Ok(outcome) = ended
            && outcome.withheld.is_none()
        {
            self.record_exchange(&running.attempt, &outcome);
        }
    }

    fn overdue<'b>(&'b self, first: &'b Attempt) -> OverdueRequest<'b> {
        let now = self.node.now();
        let state = self.node.state.borrow();
        let server = state.pool.server(&first.pick.server);
        let may_have_crashed = server.is_none_or(|server| server.liveness != Liveness::Up);
        OverdueRequest {
            route: self.route,
            progress: &self.progress,
            first: &first.pick,
            used: now.since(self.started),
            lasted: now.since(first.started),
            remaining: self.deadline.since(now),
            reports_speed: server.is_some_and(Server::reports_speed),
            has_crash_evidence: may_have_crashed || self.copy.has_evidence(),
            is_stopping: self.node.stop.is_leaving(),
        }
    }

    /// Selects the server of a second copy; returns `None` if there may be no second copy.
    fn choose_second(&mut self, first: &Attempt) -> Option<Pick> {
        if self.node.second_copies.get() >= MAX_SECOND_COPIES || !self.has_budget_for_copy() {
            return None;
        }
        self.tried.push(first.pick.server.clone());
        let second = self.choose_server_of_second();
        self.tried.pop();
        let second = second?;
        self.permits_copy(first, &second).then_some(second)
    }

    fn choose_server_of_second(&self) -> Option<Pick> {
        let now = self.node.now();
        let mut state = self.node.state.borrow_mut();
        let state = &mut *state;
        let instances = state.members.max_running_instances();
        let request = self.placement_request();
        let pool = &state.pool;
        let placer = &mut state.placer;
        placer.choose_second(now, pool, self.configuration, &request, instances)
    }

    fn permits_copy(&self, first: &Attempt, second: &Pick) -> bool {
        let settings = self.node.settings().second_copies;
        self.overdue(first).check(&settings, second).is_ok()
    }

    /// Takes what a second copy needs besides the retry budget: the server's permission and a token of the team's quota.
    async fn take_permissions(&self, second: Pick) -> Option<(Pick, SendPermit, SendRight<'a>)> {
        let permit = self.permit(&second).await.ok()?;
        let caller = self.right.caller().cloned();
        let right = SendRight::new(self.node, caller, SpanMs::ZERO);
        right.acquire().await.ok()?;
        Some((second, permit, right))
    }

    /// Starts a second copy, unless what permits it has changed while the permissions were taken.
    fn start_second(
        &self,
        first: &Attempt,
        (second, permit, right): (Pick, SendPermit, SendRight<'a>),
    ) -> Option<RunningAttempt<'a>> {
        let may = self.node.second_copies.get() < MAX_SECOND_COPIES
            && self.permits_copy(first, &second)
            && self.take_budget_for_copy();
        may.then(|| self.start(second, permit, Some(right)))
    }

    fn has_budget_for_copy(&self) -> bool {
        let now = self.node.now();
        let share = self.node.settings().second_copies.budget_share;
        let mut state = self.node.state.borrow_mut();
        let instances = state.members.max_running_instances();
        let budget = state.budgets.get_mut(&self.service);
        budget.is_some_and(|budget| budget.may_take_second_copy(now, instances, share))
    }

    fn take_budget_for_copy(&self) -> bool {
        let now = self.node.now();
        let share = self.node.settings().second_copies.budget_share;
        let mut state = self.node.state.borrow_mut();
        let instances = state.members.max_running_instances();
        let budget = state.budgets.get_mut(&self.service);
        budget.is_some_and(|budget| budget.take_second_copy(now, instances, share))
    }

    fn count_copy(&self, outcome: CopyOutcome) {
        let counter = &self.node.metrics.second_copies;
        counter.with_label_values(&[outcome.as_str()]).inc();
    }
}

/// Returns whether the request of an exchange may have been written to its server.
const fn was_written(outcome: &ExchangeOutcome) -> bool {
    outcome.withheld.is_none()
        && !matches!(
            outcome.end,
            ExchangeEnd::Limited | ExchangeEnd::Unavailable | ExchangeEnd::Unreachable
        )
}
