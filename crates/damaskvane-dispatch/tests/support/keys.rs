//! Builders of attempts, key tables and outcomes for the tests of homes and handovers.
//!
//! A key table holds the idempotency keys of one home, the instance that alone may run these keys.

use damaskvane_core::time;
use damaskvane_dispatch::{deadline, exchange, fingerprint, home, outcome, refusal};

pub type Table = home::HomeTable<u64>;

pub const RESPONSE: u64 = 42;

pub fn home_of(text: &str) -> home::Home {
    text.parse().expect("valid home")
}

pub fn at(ms: u64) -> time::TimeMs {
    time::TimeMs::new(ms)
}

pub fn fingerprint_of(body: &str) -> fingerprint::Fingerprint {
    let service = "rider-desk".parse().expect("valid service id");
    fingerprint::Fingerprint::of(&service, "POST", "/book", body.as_bytes())
}

pub fn attempt(key: &str, home: &str, try_number: u32) -> home::Attempt {
    home::Attempt {
        key: key.parse().expect("valid key"),
        home: home_of(home),
        fingerprint: fingerprint_of("meals"),
        try_number,
        time_left: time::SpanMs::new(2_000),
    }
}

pub fn table(home: &str) -> Table {
    Table::new(home_of(home), home::HomeSettings::default())
}

pub fn dispatch(table: &mut Table, now_ms: u64, attempt: &home::Attempt) -> home::DispatchPermit {
    match table.begin(at(now_ms), attempt) {
        home::BeginDecision::Dispatch(permit) => permit,
        other => panic!("expected a dispatch, got {other:?}"),
    }
}

pub fn reason(begin: &home::BeginDecision<u64>) -> Option<refusal::RefusalReason> {
    match begin {
        home::BeginDecision::Answer(outcome) => outcome.reason(),
        _ => None,
    }
}

pub fn not_run(permit: home::DispatchPermit) -> (home::DispatchPermit, outcome::Outcome<u64>) {
    let deadline = deadline::Deadline::after(at(0), time::SpanMs::new(2_000));
    let request = "try".parse().expect("valid request id");
    let received = exchange::Received::keyed(request, deadline, permit);
    let answered = received.refuse(refusal::RefusalReason::QueueFull);
    let (permit, outcome) = answered.into_parts();
    (permit.expect("keyed request has a permit"), outcome)
}
