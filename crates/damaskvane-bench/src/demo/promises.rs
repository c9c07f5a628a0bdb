//! The eight promises of the brief, judged by what a run left.
//!
//! ```
//! use damaskvane_bench::{cluster, demo};
//!
//! let deployment = cluster::Deployment::prairie();
//! let plan = demo::Plan::new(&deployment);
//! let judged = demo::judge(&deployment, &plan, &demo::Record::default());
//! assert_eq!(judged.len(), 8);
//! ```

use std::collections::{BTreeMap, HashMap};

use crate::checker::{self, Verdict};
use crate::client::{Given, Outcome};
use crate::cluster::Deployment;
use crate::demo::{Plan, Promise, Record, ShareSample};

/// A drained backend server gets no new work so long after the acceptance.
const DRAIN_BOUND_MS: u64 = 3_000;
/// A ticket is in force everywhere so long after its acceptance.
const IN_FORCE_BOUND_MS: u64 = 5_000;
/// Refusals that tell of too little room.
const ROOM_REASONS: [&str; 4] = [
    "queue_full",
    "queue_timeout",
    "overloaded",
    "credit_exhausted",
];
/// How long around a planned stop tries to the instance are looked at, in milliseconds.
const STOP_MARGIN_MS: u64 = 1_000;

/// Judges a run: one promise for each point of *What must always hold*.
#[must_use]
pub fn judge(deployment: &Deployment, plan: &Plan, record: &Record) -> Vec<Promise> {
    let verdict = checker::check(&record.executions, &record.given);
    vec![
        shift_under_cap(plan, record),
        no_region_overloaded(deployment, record),
        whole_answers(&verdict),
        not_run_is_true(&verdict),
        at_most_once(&verdict),
        drained_server_rests(record),
        planned_stop_is_graceful(plan, record),
        tickets_hold(record),
    ]
}

/// The largest growth of the share within any one window.
fn largest_move(shares: &[ShareSample], window_ms: u64) -> u32 {
    let mut largest = 0;
    for (index, earlier) in shares.iter().enumerate() {
        let later = shares[index..].iter();
        let within = later.take_while(|sample| sample.unix_ms - earlier.unix_ms <= window_ms);
        let most = within.map(|sample| sample.permille).max().unwrap_or(0);
        largest = largest.max(most.saturating_sub(earlier.permille));
    }
    largest
}

fn shift_under_cap(plan: &Plan, record: &Record) -> Promise {
    let accepted = accepted_at(record, "shift");
    let before = record
        .shares
        .iter()
        .rfind(|sample| sample.unix_ms < accepted);
    let before = before.map_or(0, |sample| sample.permille);
    let after = record
        .shares
        .iter()
        .filter(|sample| sample.unix_ms >= accepted);
    let most = after.map(|sample| sample.permille).max().unwrap_or(0);
    let largest = largest_move(&record.shares, plan.window_ms);
    let moved = most.saturating_sub(before);
    let held = largest <= plan.cap_permille && moved > 0;
    let figure = format!(
        "at most {largest} permille in {} ms, cap {}; {moved} of {} permille moved",
        plan.window_ms, plan.cap_permille, plan.permille
    );
    Promise::new(held, "a shift stays under its cap", figure)
}

fn no_region_overloaded(deployment: &Deployment, record: &Record) -> Promise {
    let over: u64 = record.stats.values().map(|stats| stats.over_slots).sum();
    let tries = record.given.iter().flat_map(|one| &one.tries);
    let refused = tries
        .filter(|own| ROOM_REASONS.contains(&own.reason.as_str()))
        .count();
    let slots = region_slots(deployment);
    let fullest = record
        .peaks
        .iter()
        .map(|(region, peak)| (*peak, slots.get(region).copied().unwrap_or(0), region))
        .max_by(|left, right| (left.0 * right.1.max(1)).cmp(&(right.0 * left.1.max(1))));
    let (peak, slots, region) = fullest.map_or((0, 0, ""), |(peak, slots, region)| {
        (peak, slots, region.as_str())
    });
    let figure = format!(
        "{over} starts beyond the slots, {refused} refused for lack of room; fullest {region} at {peak} of {slots} slots"
    );
    let held = over == 0 && refused == 0 && !record.stats.is_empty();
    Promise::new(held, "no region is overloaded by steering", figure)
}

pub(crate) fn region_slots(deployment: &Deployment) -> BTreeMap<String, u64> {
    let region: HashMap<&str, &str> = deployment
        .zones()
        .map(|zone| (zone.name.as_str(), zone.region.as_str()))
        .collect();
    let mut slots = BTreeMap::new();
    for service in &deployment.services {
        for placement in deployment.placements(service) {
            let name = region
                .get(placement.zone.as_str())
                .copied()
                .unwrap_or_default();
            *slots.entry(name.to_owned()).or_default() += u64::from(service.slots);
        }
    }
    slots
}

fn whole_answers(verdict: &Verdict) -> Promise {
    let (wrong, never) = (verdict.wrong_answers.len(), verdict.never_ran.len());
    let figure = format!(
        "{wrong} of {} answers cut or crossed, {never} that nothing ran{}",
        verdict.answers,
        example(&verdict.wrong_answers)
    );
    let held = wrong == 0 && never == 0 && verdict.answers > 0;
    Promise::new(held, "each answer is whole and the client's own", figure)
}

fn not_run_is_true(verdict: &Verdict) -> Promise {
    let wrong = verdict.false_not_run.len();
    let figure = format!(
        "{wrong} of {} not-run answers had run{}",
        verdict.not_run_claims,
        example(&verdict.false_not_run)
    );
    Promise::new(
        wrong == 0 && verdict.answers > 0,
        "a not-run is true",
        figure,
    )
}

fn at_most_once(verdict: &Verdict) -> Promise {
    let wrong = verdict.ran_twice.len();
    let figure = format!(
        "{wrong} keys ran twice in {} executions{}",
        verdict.executions,
        example(&verdict.ran_twice)
    );
    Promise::new(
        wrong == 0 && verdict.executions > 0,
        "a non-repeatable request runs at most once",
        figure,
    )
}

fn drained_server_rests(record: &Record) -> Promise {
    let accepted = accepted_at(record, "drain");
    let undrained = accepted_at(record, "undrain");
    let on_server = record
        .executions
        .iter()
        .filter(|one| one.server == record.drained.server);
    let during = |started: u64| started >= accepted && started < undrained;
    let last = on_server
        .clone()
        .filter(|one| during(one.started_unix_ms))
        .map(|one| one.started_unix_ms)
        .max();
    let after_ms = last.map_or(0, |last| last - accepted);
    let before = on_server
        .clone()
        .filter(|one| one.started_unix_ms < accepted)
        .count();
    let aborted = on_server.filter(|one| one.aborted).count();
    let held = accepted > 0 && before > 0 && after_ms <= DRAIN_BOUND_MS && aborted == 0;
    let last = match last {
        Some(_) => format!("last start {after_ms} ms after the ticket"),
        None => "no start after the ticket".to_owned(),
    };
    let figure = format!(
        "{}: {last}, bound {DRAIN_BOUND_MS} ms; {before} starts before it, {aborted} aborted",
        record.drained.server
    );
    Promise::new(held, "a leaving backend server gets no new work", figure)
}

fn planned_stop_is_graceful(plan: &Plan, record: &Record) -> Promise {
    let stop = &record.stop;
    let window = stop.told_unix_ms..stop.ended_unix_ms + STOP_MARGIN_MS;
    let tries = record.given.iter().flat_map(|one| &one.tries);
    let around =
        tries.filter(|own| own.instance == plan.stopped && window.contains(&own.answered_unix_ms));
    let cut = around
        .clone()
        .filter(|own| own.outcome == Outcome::Unknown)
        .count();
    let refused = around.filter(|own| own.reason == "connect-refused").count();
    let ended =
        |one: &&Given| window.contains(&one.started_unix_ms) && one.outcome == Outcome::Unknown;
    let unknown = record.given.iter().filter(ended).count();
    let held = stop.exit_code == Some(0) && cut == 0 && unknown == 0;
    let code = stop
        .exit_code
        .map_or("none".to_owned(), |code| code.to_string());
    let figure = format!(
        "exit code {code}, {cut} requests cut, {unknown} left unknown, {refused} connections refused; drain time {} ms",
        stop.ended_unix_ms.saturating_sub(stop.told_unix_ms)
    );
    Promise::new(held, "a planned stop is graceful", figure)
}

/// Samples in which an instance, or the look-ups, went back to an earlier configuration.
fn reverts(record: &Record) -> usize {
    let mut highest: HashMap<(&str, u64), u64> = HashMap::new();
    let mut count = 0;
    for sample in &record.versions {
        let seen = highest
            .entry((&sample.instance, sample.incarnation))
            .or_default();
        count += usize::from(sample.version < *seen);
        *seen = sample.version.max(*seen);
    }
    let mut seen = 0;
    for sample in &record.shares {
        count += usize::from(sample.version < seen);
        seen = sample.version.max(seen);
    }
    count
}

fn tickets_hold(record: &Record) -> Promise {
    let reverts = reverts(record);
    let slowest = record
        .tickets
        .iter()
        .filter_map(|ticket| ticket.in_force_ms)
        .max()
        .unwrap_or(0);
    let missing: Vec<String> = record
        .tickets
        .iter()
        .filter(|ticket| ticket.in_force_ms.is_none())
        .map(|ticket| format!("{} not on {}", ticket.reason, ticket.missing.join(", ")))
        .collect();
    let booted = record.booted_without_store_ms;
    let boot = booted.map_or("waited for the store".to_owned(), |ms| {
        format!("had it after {ms} ms")
    });
    let held = reverts == 0
        && missing.is_empty()
        && !record.tickets.is_empty()
        && slowest <= IN_FORCE_BOUND_MS
        && booted.is_some();
    let figure = format!(
        "{} tickets, slowest in force everywhere after {slowest} ms, bound {IN_FORCE_BOUND_MS} ms; {reverts} reverts in {} samples; an instance booted without the store {boot}{}",
        record.tickets.len(),
        record.versions.len() + record.shares.len(),
        example(&missing)
    );
    Promise::new(
        held,
        "an accepted ticket is in force everywhere and stays",
        figure,
    )
}

fn accepted_at(record: &Record, reason: &str) -> u64 {
    let ticket = record.tickets.iter().find(|ticket| ticket.reason == reason);
    ticket.map_or(0, |ticket| ticket.accepted_unix_ms)
}

fn example(findings: &[String]) -> String {
    findings
        .first()
        .map(|finding| format!(" ({finding})"))
        .unwrap_or_default()
}
