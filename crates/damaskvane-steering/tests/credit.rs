//! Tests of the request rate that a receiving zone (the granter) grants to a source zone (the holder).
//!
//! Granted and local rates together stay within the capacity of the receiving zone, and a grant expires at
//! its holder before the granter releases the granted rate.
#![allow(clippy::unwrap_used)]

mod common;

use std::collections::BTreeMap;

use common::{at, rps, zone};
use damaskvane_core::time;
use damaskvane_steering::{credit, rate};
use rand::{RngExt, SeedableRng};

const SOURCES: [&str; 3] = ["mb-a", "mb-b", "sask-a"];

fn settings() -> credit::GranterSettings {
    credit::GranterSettings {
        static_shares: SOURCES.iter().map(|id| (zone(id), rps(3))).collect(),
        ..credit::GranterSettings::default()
    }
}

#[test]
fn an_expired_grant_leaves_the_static_share() {
    let mut holder = credit::Holder::new(rps(3), at(0));
    let request = holder.request(rps(40), at(1_000));
    let grant = credit::Grant {
        number: request.number,
        rate: rps(40),
        lifetime: time::SpanMs::new(5_000),
    };
    assert!(holder.accept(grant, at(1_400)));
    assert_eq!(holder.rate(at(5_999)), rps(40));
    assert_eq!(
        holder.rate(at(6_000)),
        rps(3),
        "the lifetime starts at the request, not at the arrival of the grant"
    );
}

/// A grant is delayed and arrives after the receiving zone has granted the same rate to another source. If
/// the grant's lifetime started at its arrival, both sources would use the rate, and the receiving zone would
/// get twice the granted rate.
#[test]
fn a_late_grant_is_not_used() {
    let mut holder = credit::Holder::new(rps(3), at(0));
    let request = holder.request(rps(40), at(0));
    let grant = credit::Grant {
        number: request.number,
        rate: rps(40),
        lifetime: time::SpanMs::new(5_000),
    };
    assert!(!holder.accept(grant, at(5_000)));
    assert_eq!(holder.rate(at(5_000)), rps(3));
    assert!(
        !holder.accept(grant, at(5_001)),
        "a response is accepted at most once"
    );
}

/// A source is paused after it acquired a permit (the right to send one request to the receiving zone) and
/// before it sends the request. When the grant has expired, the permit must be invalid.
#[test]
fn a_permit_is_invalid_once_its_grant_has_expired() {
    let mut holder = credit::Holder::new(rps(3), at(0));
    let request = holder.request(rps(40), at(0));
    holder.accept(
        credit::Grant {
            number: request.number,
            rate: rps(40),
            lifetime: time::SpanMs::new(5_000),
        },
        at(10),
    );
    let permit = holder.acquire(at(4_000)).unwrap();
    assert!(permit.is_valid(at(4_999)));
    assert!(!permit.is_valid(at(5_000)));
}

#[test]
fn tokens_follow_the_rate() {
    let mut holder = credit::Holder::new(rps(3), at(0));
    let request = holder.request(rps(40), at(0));
    holder.accept(
        credit::Grant {
            number: request.number,
            rate: rps(40),
            lifetime: time::SpanMs::new(5_000),
        },
        at(0),
    );
    let mut taken = BTreeMap::new();
    for now_ms in 0..10_000 {
        while holder.acquire(at(now_ms)).is_some() {
            *taken.entry(now_ms / 1_000).or_insert(0) += 1;
        }
    }
    assert!((39..=51).contains(&taken[&1]), "{taken:?}");
    assert!((3..=4).contains(&taken[&7]), "{taken:?}");
}

#[test]
fn a_source_without_any_rate_sends_nothing() {
    let mut holder = credit::Holder::new(rate::Rate::ZERO, at(0));
    let request = holder.request(rps(4), at(0));
    holder.accept(
        credit::Grant {
            number: request.number,
            rate: rate::Rate::ZERO,
            lifetime: time::SpanMs::new(5_000),
        },
        at(0),
    );
    assert!((0..20).all(|step| holder.acquire(at(step * 1_000)).is_none()));
}

/// Grants are delayed and lost, local demand jumps, and sources request more than the capacity. If the sum of
/// granted and local rates exceeded the capacity, the receiving zone would refuse its own clients in favour
/// of other zones' clients.
#[test]
fn granted_and_local_rates_never_exceed_the_capacity() {
    for seed in 0..30 {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let mut granter = credit::Granter::new(settings());
        let mut holders: Vec<_> = SOURCES
            .iter()
            .map(|_| credit::Holder::new(rps(3), at(0)))
            .collect();
        let mut in_transit: Vec<(u64, usize, credit::Grant)> = Vec::new();
        let mut local = rps(100);
        for now_ms in (0..120_000).step_by(100) {
            granter.remove_expired(at(now_ms));
            // As in an entry instance, local clients are admitted up to the capacity that is not reserved for
            // grants.
            let demand = rps(rng.random_range(50..200));
            local = if rng.random_range(0..20) == 0 {
                demand
            } else {
                local
            };
            local = local.min(granter.local_capacity(rps(200)));
            for (index, holder) in holders.iter_mut().enumerate() {
                if rng.random_range(0..10) > 0 {
                    continue;
                }
                let request = holder.request(rps(rng.random_range(0..300)), at(now_ms));
                let load = credit::LocalLoad {
                    capacity: rps(200),
                    local,
                };
                let grant = granter.grant(&zone(SOURCES[index]), request, load, at(now_ms));
                if rng.random_range(0..5) > 0 {
                    in_transit.push((now_ms + rng.random_range(0..8_000), index, grant));
                }
            }
            let (due, later): (Vec<_>, Vec<_>) = in_transit
                .into_iter()
                .partition(|(due_ms, ..)| *due_ms <= now_ms);
            in_transit = later;
            for (_, index, grant) in due {
                holders[index].accept(grant, at(now_ms));
            }
            let used: rate::Rate = holders.iter().map(|holder| holder.rate(at(now_ms))).sum();
            assert!(used <= granter.reserved(), "seed {seed} at {now_ms}");
            assert!(
                used + local <= rps(200),
                "seed {seed} at {now_ms}: {used} and {local}"
            );
            assert_eq!(granter.limit_violations(), 0);
        }
    }
}

#[test]
fn a_receiver_near_its_capacity_renews_no_grant() {
    let mut granter = credit::Granter::new(settings());
    let request = credit::CreditRequest {
        number: 1,
        rate: rps(60),
    };
    let low_load = credit::LocalLoad {
        capacity: rps(200),
        local: rps(50),
    };
    assert_eq!(
        granter.grant(&zone("mb-a"), request, low_load, at(0)).rate,
        rps(60)
    );
    let high_load = credit::LocalLoad {
        capacity: rps(200),
        local: rps(180),
    };
    assert_eq!(
        granter
            .grant(&zone("mb-a"), request, high_load, at(1_000))
            .rate,
        rps(3)
    );
    granter.remove_expired(at(8_000));
    assert_eq!(granter.reserved(), rps(9));
}

/// A grant is renewed with a smaller rate while the larger previous grant may still be in use, because the
/// renewal can be lost. If the larger rate were no longer reserved, part of it could be granted twice.
#[test]
fn a_smaller_renewal_keeps_the_larger_grant_reserved_until_it_expires() {
    let mut granter = credit::Granter::new(settings());
    let load = credit::LocalLoad {
        capacity: rps(200),
        local: rps(50),
    };
    let request = |rate| credit::CreditRequest { number: 1, rate };
    granter.grant(&zone("mb-a"), request(rps(60)), load, at(0));
    granter.grant(&zone("mb-a"), request(rps(5)), load, at(1_000));
    assert_eq!(granter.reserved(), rps(60 + 3 + 3));
    granter.remove_expired(at(7_000));
    assert_eq!(granter.reserved(), rps(5 + 3 + 3));
}
