//! Tests of limits that instances share without exchanging messages: each instance keeps to its part of a limit.
//!
//! A cold server has started recently and gets few requests.

mod support;

use damaskvane_routing::limit::{ColdRate, ColdRateSettings, RetryBudget, RetryBudgetSettings};
use damaskvane_routing::peers::{ListedInstance, Members, PeerSettings};
use support::{at, regions};

const INSTANCES: usize = 8;

/// Guards against cold servers that crash under the requests of all instances together: the servers of a whole zone
/// start at once, and every instance sends requests for their objects. The shares of all instances must add up to no
/// more than the limit of a cold server.
#[test]
fn shares_of_a_cold_server_stay_within_its_limit_in_any_second() {
    let settings = ColdRateSettings::default();
    let limit = 13.0 * settings.factor + settings.slack;
    let share = settings.share(13.0, INSTANCES);
    let mut sent = Vec::new();
    for _ in 0..INSTANCES {
        let mut rate = ColdRate::default();
        for now_ms in 0..5_000 {
            if rate.has_capacity(at(now_ms), share) {
                rate.record(at(now_ms));
                sent.push(now_ms);
            }
        }
    }
    for start_ms in 0..4_000 {
        let in_second = sent
            .iter()
            .filter(|ms| (start_ms..start_ms + 1_000).contains(*ms))
            .count();
        assert!(in_second as f64 <= limit, "{in_second} from {start_ms} ms");
    }
}

/// Guards against retries that keep failed servers down: every server fails, and every request needs a second attempt
/// at each instance. The retries of all instances together must stay within the declared ratio of retries to requests.
#[test]
fn retries_of_all_instances_stay_within_the_budget_in_any_window() {
    let settings = RetryBudgetSettings::default();
    let mut requests = 0_u32;
    let mut retries = Vec::new();
    let mut budgets: Vec<_> = (0..INSTANCES).map(|_| RetryBudget::new(settings)).collect();
    for now_ms in (0..30_000_u64).step_by(20) {
        for budget in &mut budgets {
            budget.record_request(at(now_ms));
            requests += 1;
            if budget.take(at(now_ms), INSTANCES) {
                retries.push(now_ms);
            }
        }
    }
    let per_window = f64::from(requests) * settings.window_ms as f64 / 30_000.0;
    let limit = settings.ratio * per_window + settings.slack;
    for start_ms in (0..20_000).step_by(500) {
        let window = start_ms..start_ms + settings.window_ms;
        let in_window = retries.iter().filter(|ms| window.contains(*ms)).count();
        assert!(in_window as f64 <= limit, "{in_window} from {start_ms} ms");
    }
}

/// Guards against shared limits that are exceeded after an instance restarts: the instance has no list of other
/// instances yet. If it used each limit alone, all instances together would exceed the limit.
#[test]
fn an_instance_without_peers_assumes_many_instances() {
    let settings = PeerSettings::default();
    let mut members = Members::new(settings, "a-1".parse().expect("a name"), regions());
    assert_eq!(members.max_running_instances(), settings.assumed_instances);
    let listed = ["a-1", "a-2", "b-1"].map(|name| ListedInstance {
        instance: name.parse().expect("a name"),
        peer_address: "10.0.0.1:7000".parse().expect("an address"),
        zone: None,
        created: 0,
    });
    members.set_listed(listed);
    assert_eq!(members.max_running_instances(), 3);
}
