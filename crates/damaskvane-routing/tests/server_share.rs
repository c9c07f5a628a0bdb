//! Tests of the shares of a server's tokens: no share earns at two places, whatever happens to leases.

use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;
use damaskvane_routing::limit::RequestRate;
use damaskvane_routing::peers::ListedInstance;
use damaskvane_routing::pool::ServerKey;
use damaskvane_routing::quota::{
    HolderTable, LEASE, MAX_REPLY, ServerLimitSettings, ServerShare, ServerShares, ShareTerms,
};

fn at(ms: u64) -> TimeMs {
    TimeMs::new(ms)
}

fn instance(name: &str) -> ids::InstanceId {
    name.parse().expect("a valid name")
}

/// Three holders that earn 3 tokens a second together.
fn terms(gone: usize) -> ShareTerms {
    ShareTerms {
        rate_per_s: 3.0,
        capacity: 4.5,
        holders: 3,
        gone,
    }
}

fn share() -> ServerShare {
    ServerShare::new(at(0), at(0))
}

/// Returns the number of tokens that can be taken from a share at once.
fn tokens(share: &ServerShare, now_ms: u64, terms: ShareTerms) -> usize {
    let mut share = share.clone();
    (0..100)
        .take_while(|_| share.take(at(now_ms), terms, 0).is_ok())
        .count()
}

/// A server gets limit x 4 + 5 requests in 4 s at most, and no less than 95% of its limit; one that takes nothing is asked
/// now and then, or it could not end its limit.
#[test]
fn the_terms_use_the_limit_and_stay_within_the_bound() {
    let settings = ServerLimitSettings::default();
    for per_s in [0.0, 0.1, 0.5, 1.0, 2.9, 4.5, 12.0, 100.0, 10_000.0] {
        let limit = RequestRate::new(per_s).expect("a rate");
        let terms = settings.terms(limit, 3, 0);
        assert!(terms.rate_per_s >= per_s * 0.95, "{per_s}");
        assert!(terms.rate_per_s > 0.1, "{per_s}");
        assert!(
            terms.capacity >= 3.0,
            "{per_s}: each holder can hold a token"
        );
        let most = terms.rate_per_s * 4.2 + terms.capacity;
        assert!(most <= per_s * 4.0 + 5.0 + 1e-9, "{per_s}: {most}");
    }
}

#[test]
fn a_share_earns_its_part_alone_and_all_with_leases() {
    let alone = share();
    assert_eq!(tokens(&alone, 900, terms(0)), 0);
    assert_eq!(
        tokens(&alone, 60_000, terms(0)),
        1,
        "a third of the capacity"
    );
    let mut leader = share();
    for (now_ms, _) in (0..5_000).step_by(300).zip(0..) {
        for other in ["b", "c"] {
            leader.receive(at(now_ms), terms(0), &instance(other), at(now_ms), 0.0);
        }
    }
    assert_eq!(tokens(&leader, 5_000, terms(0)), 4);
}

/// The leader is lost. Its lenders must earn again, and only once its leases have ended for sure.
#[test]
fn a_lease_ends_at_the_leader_before_it_ends_at_the_lender() {
    let mut lender = share();
    assert!(
        lender
            .lend(at(10_020), terms(0), &instance("a"), true)
            .is_some()
    );
    assert_eq!(lender.lent_to(at(10_500)), Some(&instance("a")));
    let mut leader = share();
    leader.receive(at(10_040), terms(0), &instance("b"), at(10_000), 0.0);
    let earned_with = |ms| tokens(&leader, ms, terms(0));
    // The second share earns until 11,000 at the leader, and from 11,020 on at the lender.
    assert!(earned_with(10_990) >= 1);
    assert!(lender.lent_to(at(11_019)).is_some());
    assert!(lender.lent_to(at(11_020)).is_none());
    assert_eq!(tokens(&lender, 11_900, terms(0)), 0);
    assert_eq!(tokens(&lender, 12_100, terms(0)), 1);
}

/// Tokens move with the share, so that a server with a low limit gets what it takes; none is left behind or doubled.
#[test]
fn tokens_move_with_a_lease_unless_they_are_late() {
    let mut lender = share();
    let moved = lender.lend(at(60_000), terms(0), &instance("a"), true);
    assert_eq!(moved, Some(1.5));
    assert_eq!(
        lender.lend(at(60_300), terms(0), &instance("a"), true),
        Some(0.0),
        "renewed"
    );
    assert_eq!(tokens(&lender, 60_999, terms(0)), 0);
    let mut leader = ServerShare::new(at(60_000), at(60_000));
    leader.receive(at(60_010), terms(0), &instance("b"), at(60_000), 1.5);
    assert_eq!(tokens(&leader, 60_010, terms(0)), 1);
    let mut late = ServerShare::new(at(60_000), at(60_000));
    let arrives = at(60_001) + MAX_REPLY;
    late.receive(arrives, terms(0), &instance("b"), at(60_000), 1.5);
    assert_eq!(tokens(&late, 60_251, terms(0)), 0);
}

/// Two instances ask for one share: the second one must not get it as well.
#[test]
fn a_share_is_lent_to_one_instance_at_a_time() {
    let mut lender = share();
    assert!(
        lender
            .lend(at(1_000), terms(0), &instance("b"), true)
            .is_some()
    );
    assert!(
        lender
            .lend(at(1_500), terms(0), &instance("a"), true)
            .is_none()
    );
    assert!(
        lender
            .lend(at(1_999), terms(0), &instance("a"), true)
            .is_none()
    );
    assert!(
        lender
            .lend(at(2_000), terms(0), &instance("a"), true)
            .is_some()
    );
}

/// A holder that callers ask keeps its share, unless the one that all callers ask first wants it.
#[test]
fn a_holder_in_use_lends_only_to_one_that_precedes_it() {
    let mut lender = share();
    let _ = lender.take(at(1_000), terms(0), 0);
    assert!(
        lender
            .lend(at(1_500), terms(0), &instance("c"), false)
            .is_none()
    );
    assert!(
        lender
            .clone()
            .lend(at(1_500), terms(0), &instance("a"), true)
            .is_some()
    );
    assert!(
        lender
            .lend(at(2_000), terms(0), &instance("c"), false)
            .is_some()
    );
}

/// A holder that leads must give way to one that precedes it, or both would keep half of the shares.
#[test]
fn a_holder_that_has_lent_its_share_renews_no_leases() {
    let mut share = share();
    assert!(share.takes_renewal(at(1_000)));
    assert!(
        !share.takes_renewal(at(1_299)),
        "not more often than needed"
    );
    assert!(share.takes_renewal(at(1_300)));
    share.receive(at(1_310), terms(0), &instance("c"), at(1_300), 0.0);
    assert!(
        share
            .lend(at(1_400), terms(0), &instance("a"), true)
            .is_some()
    );
    assert!(!share.takes_renewal(at(1_700)));
    assert!(
        share.lent_to(at(1_700)).is_none(),
        "it still has the other share"
    );
    assert!(share.lent_to(at(2_301)).is_some(), "which ends");
    assert!(share.takes_renewal(at(2_400)));
}

/// A holder is lost: the majority takes its part over, and a minority must not.
#[test]
fn a_majority_takes_over_the_shares_of_lost_holders() {
    let mut majority = share();
    let mut now_ms = 0;
    while now_ms < 3_000 {
        majority.receive(at(now_ms), terms(1), &instance("b"), at(now_ms), 0.0);
        now_ms += 300;
    }
    assert_eq!(tokens(&majority, 3_000, terms(1)), 4, "the whole capacity");
    let minority = share();
    assert_eq!(tokens(&minority, 60_000, terms(2)), 1);
}

/// A process starts again while its predecessor's share is lent: it must not earn until that lease has ended.
#[test]
fn a_process_that_starts_again_earns_only_after_a_lease() {
    let server = ServerKey::from_wire(7);
    let mut shares = ServerShares::new(at(0));
    let share = shares.share(at(10), server);
    assert!(
        share
            .lend(at(500), terms(0), &instance("a"), true)
            .is_none()
    );
    assert!(share.take(at(900), terms(0), 0).is_err());
    let earned_since = LEASE.get();
    assert!(share.take(at(earned_since + 990), terms(0), 0).is_err());
    assert!(share.take(at(earned_since + 1_010), terms(0), 0).is_ok());
}

/// A share that this instance has not held before begins empty, whatever time has passed: another one may have held it.
#[test]
fn a_share_begins_empty_at_its_first_use() {
    let mut shares = ServerShares::new(at(0));
    shares.earn_from(at(1_500));
    let share = shares.share(at(60_000), ServerKey::from_wire(7));
    assert!(share.take(at(60_000), terms(0), 0).is_err());
}

/// Urgent requests come first: less urgent ones leave tokens to them, and still get what they leave.
#[test]
fn lower_priorities_leave_tokens_to_higher_ones() {
    let served = |priority: u32| {
        let mut share = share();
        let mut served = 0;
        for now_ms in (0..60_000).step_by(50) {
            for other in ["b", "c"] {
                share.receive(at(now_ms), terms(0), &instance(other), at(now_ms), 0.0);
            }
            served += usize::from(share.take(at(now_ms), terms(0), priority).is_ok());
        }
        served
    };
    assert!(served(2) >= 170, "alone they get all: {}", served(2));
    let mut share = share();
    let mut by_priority = [0, 0];
    for now_ms in (0..60_000).step_by(50) {
        for other in ["b", "c"] {
            share.receive(at(now_ms), terms(0), &instance(other), at(now_ms), 0.0);
        }
        for (index, priority) in [2, 0].into_iter().enumerate() {
            by_priority[index] += usize::from(share.take(at(now_ms), terms(0), priority).is_ok());
        }
    }
    assert!(by_priority[1] > 10 * by_priority[0], "{by_priority:?}");
}

/// The more instances ask, the less often each is told to ask, or a large fleet floods the holder.
#[test]
fn crowded_callers_are_told_to_ask_less_often() {
    let wait_ms = |asks: usize| {
        let mut share = share();
        let mut wait_ms = 0;
        for number in 0..asks {
            let now = at(300 * number as u64 / asks as u64);
            wait_ms = share
                .take(now, terms(0), 0)
                .expect_err("no token")
                .retry_after_ms;
        }
        wait_ms
    };
    assert!(wait_ms(2) < 400);
    assert!(wait_ms(100) > 1_500);
}

fn listed(name: &str, zone: &str, created: u64) -> ListedInstance {
    ListedInstance {
        instance: instance(name),
        peer_address: ([10, 0, 0, 1], 7_000).into(),
        zone: Some(zone.parse().expect("a zone")),
        created,
    }
}

/// The holders are of different zones as far as there are zones, those nearest to the server first, and the same at all
/// instances; an instance that joins changes few of them.
#[test]
fn holders_are_spread_over_zones_and_stay() {
    let mut instances = vec![
        listed("a-1", "a", 1),
        listed("a-2", "a", 2),
        listed("b-1", "b", 3),
        listed("c-1", "c", 4),
        listed("c-2", "c", 5),
    ];
    let home = "b".parse().expect("a zone");
    let names = |instances: &[ListedInstance], server: ServerKey| -> Vec<String> {
        let table = HolderTable::new(instances);
        let zones = table.server_zones(server, &home, |zone| zone.as_str() != "c");
        let holders = table.server_holders(server, zones, 3);
        holders.iter().map(|one| one.instance.to_string()).collect()
    };
    let mut moved = 0;
    for number in 0..100 {
        let server = ServerKey::from_wire(number);
        let before = names(&instances, server);
        assert_eq!(before[0], "b-1", "the server's own zone");
        assert!(before[1].starts_with('a'), "the zone of its region");
        assert!(before[2].starts_with('c'));
        instances.push(listed("a-3", "a", 6));
        let after = names(&instances, server);
        instances.pop();
        assert!(after == before || after[1] == "a-3");
        moved += usize::from(after != before);
    }
    assert!((15..55).contains(&moved), "{moved}");
    let alone = [listed("a-1", "a", 1), listed("a-2", "a", 2)];
    assert_eq!(names(&alone, ServerKey::from_wire(1)).len(), 2);
}
