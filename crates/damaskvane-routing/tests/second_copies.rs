//! Tests of the decision on second copies: guard against copies that waste servers' time, run a request twice that must run
//! once, or take the retries that follow failures.

mod support;

use damaskvane_core::time::SpanMs;
use damaskvane_routing::configuration::{Route, RouteKind};
use damaskvane_routing::limit::{RetryBudget, RetryBudgetSettings};
use damaskvane_routing::placement::{Choice, Pick, PlacementRequest};
use damaskvane_routing::pool::ExchangeEnd;
use damaskvane_routing::retry::{Denial, OverdueRequest, Progress, SecondCopySettings};
use support::{at, configuration, placer, pool_of, request, server_id, service_id};

const ENABLED: SecondCopySettings = SecondCopySettings {
    enabled: true,
    overdue_factor: 1.35,
    budget_share: 0.5,
};

/// A request whose usual time is 100 ms of an objective of 250 ms.
struct Case {
    route: Route,
    progress: Progress,
    first: Pick,
    second: Pick,
}

impl Case {
    fn new() -> Self {
        let route = support::route();
        let pool = pool_of(&[("east-a", 2)]);
        let service = service_id();
        let request = request(&route, &service, 7);
        let choice = placer("east-a").choose(at(1_000), &pool, &configuration(), &request, 1);
        let Choice::Send(pick) = choice else {
            panic!("the request is refused");
        };
        let first = Pick {
            is_warm: true,
            remembered_ms: 100.0,
            first_ms: 300.0,
            ..pick
        };
        let second = Pick {
            server: server_id("another"),
            expected_ms: 110.0,
            load: 0.5,
            ..first.clone()
        };
        Self {
            progress: Progress::new(RouteKind::Idempotent, 2),
            route,
            first,
            second,
        }
    }

    /// Returns the request when its exchange is overdue.
    fn overdue(&self) -> OverdueRequest<'_> {
        OverdueRequest {
            route: &self.route,
            progress: &self.progress,
            first: &self.first,
            used: SpanMs::new(137),
            lasted: SpanMs::new(136),
            remaining: SpanMs::new(1_000),
            reports_speed: true,
            has_crash_evidence: false,
            is_stopping: false,
        }
    }

    fn check(&self) -> Result<(), Denial> {
        self.overdue().check(&ENABLED, &self.second)
    }
}

#[test]
fn an_overdue_request_gets_a_copy_that_is_in_time() {
    assert_eq!(Case::new().check(), Ok(()));
}

/// A copy before the response is overdue runs most requests twice.
#[test]
fn a_request_is_overdue_after_its_usual_time_at_its_server() {
    let mut case = Case::new();
    let early = OverdueRequest {
        lasted: SpanMs::new(30),
        used: SpanMs::new(31),
        ..case.overdue()
    };
    assert_eq!(early.due_in(&ENABLED), Some(SpanMs::new(105)));
    assert_eq!(early.check(&ENABLED, &case.second), Err(Denial::NotDue));
    case.first.is_warm = false;
    case.first.was_sent = false;
    assert_eq!(
        case.check(),
        Err(Denial::NotDue),
        "a first run takes 300 ms"
    );
    case.first.was_sent = true;
    assert_eq!(case.check(), Ok(()));
    // A request that usually takes 10 ms is in time on a server that takes seven times as long.
    case.first.remembered_ms = 10.0;
    let fast = OverdueRequest {
        lasted: SpanMs::ZERO,
        used: SpanMs::ZERO,
        ..case.overdue()
    };
    assert_eq!(fast.due_in(&ENABLED), Some(SpanMs::new(63)));
}

/// Without each of these conditions, a request runs twice that must not, or on more servers than its route allows.
#[test]
fn a_request_that_may_not_be_sent_twice_gets_no_copy() {
    let case = Case::new();
    let overdue = case.overdue();
    let of_progress = |progress| OverdueRequest {
        progress,
        ..overdue
    };
    let one_attempt = Progress::new(RouteKind::Idempotent, 1);
    let booking = Progress::new(RouteKind::NonIdempotent, 3);
    let mut failed = Progress::new(RouteKind::Idempotent, 2);
    failed.record(ExchangeEnd::Failed, SpanMs::ZERO);
    let mut withdrawn = Progress::new(RouteKind::Idempotent, 3);
    withdrawn.record(ExchangeEnd::Withdrawn, SpanMs::ZERO);
    let none = [
        of_progress(&one_attempt),
        of_progress(&booking),
        of_progress(&failed),
        of_progress(&withdrawn),
        OverdueRequest {
            reports_speed: false,
            ..overdue
        },
        OverdueRequest {
            has_crash_evidence: true,
            ..overdue
        },
        OverdueRequest {
            is_stopping: true,
            ..overdue
        },
    ];
    for (number, request) in none.into_iter().enumerate() {
        assert_eq!(request.due_in(&ENABLED), None, "{number}");
        let checked = request.check(&ENABLED, &case.second);
        assert_eq!(checked, Err(Denial::NotDue), "{number}");
    }
    assert_eq!(overdue.due_in(&SecondCopySettings::default()), None);
}

/// A copy that is late as well, or that joins a queue, makes other requests late.
#[test]
fn a_second_server_must_be_another_one_with_room_and_in_time() {
    let mut case = Case::new();
    case.second.load = 0.8;
    assert_eq!(case.check(), Err(Denial::Busy));
    case.second.load = 0.79;
    case.second.expected_ms = 113.5;
    assert_eq!(case.check(), Err(Denial::TooLate));
    case.second.expected_ms = 100.0;
    let short = OverdueRequest {
        remaining: SpanMs::new(90),
        ..case.overdue()
    };
    assert_eq!(short.check(&ENABLED, &case.second), Err(Denial::TooLate));
    case.second.server = case.first.server.clone();
    assert_eq!(case.check(), Err(Denial::SameServer));
}

/// Second copies that use up the budget leave no retries after failures; copies that aren't counted exceed the bound.
#[test]
fn copies_take_a_share_of_the_retry_budget() {
    let settings = RetryBudgetSettings {
        ratio: 0.2,
        slack: 10.0,
        window_ms: 10_000,
        used_share: 1.0,
    };
    let mut budget = RetryBudget::new(settings);
    let copies = (0..20).filter(|_| budget.take_second_copy(at(1), 1, 0.5));
    assert_eq!(copies.count(), 5);
    let retries = (0..20).filter(|_| budget.take(at(2), 1));
    assert_eq!(retries.count(), 5);
    let mut budget = RetryBudget::new(settings);
    let retries = (0..20).filter(|_| budget.take(at(1), 1));
    assert_eq!(retries.count(), 10);
    assert!(!budget.may_take_second_copy(at(2), 1, 0.5));
    assert!(budget.take_second_copy(at(10_002), 1, 0.5));
}

/// A copy in another region would be a change of region beyond the limited share.
#[test]
fn a_copy_stays_in_the_home_region_of_its_object() {
    let route = support::route();
    let service = service_id();
    let request = request(&route, &service, 7);
    for (zone, is_found) in [("east-b", true), ("west-a", false)] {
        let pool = pool_of(&[("east-a", 1), (zone, 1)]);
        let mut placer = placer("east-a");
        let configuration = configuration();
        let Choice::Send(first) = placer.choose(at(1_000), &pool, &configuration, &request, 1)
        else {
            panic!("the request is refused");
        };
        let tried = [first.server.clone()];
        let request = PlacementRequest {
            tried: &tried,
            ..request
        };
        let second = placer.choose_second(at(1_000), &pool, &configuration, &request, 1);
        assert_eq!(second.is_some(), is_found, "{zone}");
        let again = placer.choose(at(1_000), &pool, &configuration, &request, 1);
        assert!(
            matches!(again, Choice::Send(_)),
            "{zone}: a retry may leave"
        );
    }
}
