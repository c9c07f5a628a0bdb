//! Tests of teams, their keys, and the proof that a configuration is current.

use damaskvane_core::time::{SpanMs, TimeMs};
use damaskvane_routing::teams::{
    ConfigEvidence, EvidenceTracker, KeyDigest, Quota, RevocationBound, Team, TeamKey, Teams,
    TeamsFault,
};

fn team(name: &str) -> Team {
    Team {
        name: name.parse().expect("a name"),
        priority: None,
        quota: None,
        allowed_regions: Vec::new(),
    }
}

fn digest(key: &str) -> KeyDigest {
    KeyDigest::of_key(key.as_bytes())
}

fn evidence(revision: u64, current_at_ms: u64) -> ConfigEvidence {
    ConfigEvidence {
        revision,
        current_at: TimeMs::new(current_at_ms),
    }
}

#[test]
fn each_key_leads_to_its_team() {
    let declared = (0..500).map(|number| {
        let keys = (0..4).map(|key| digest(&format!("key-{number}-{key}")));
        (team(&format!("team-{number}")), keys.collect())
    });
    let teams = Teams::new(declared).expect("valid teams");
    for number in 0..500 {
        let name = format!("team-{number}");
        for key in 0..4 {
            let held = teams.holder(digest(&format!("key-{number}-{key}")));
            assert_eq!(held.map(|team| team.name.as_str()), Some(name.as_str()));
        }
        let key = TeamKey::of(&name.parse().expect("a name"));
        assert_eq!(teams.team(key).map(|team| team.name.as_str()), Some(&*name));
    }
    assert!(teams.holder(digest("key-1-4")).is_none());
}

/// Guards against a configuration by which one key would open two teams.
#[test]
fn a_key_that_two_teams_hold_is_refused() {
    let declared = [
        (team("red"), vec![digest("a"), digest("b")]),
        (team("blue"), vec![digest("c"), digest("b")]),
    ];
    let fault = Teams::new(declared).expect_err("a fault");
    assert!(matches!(fault, TeamsFault::SharedKey(..)), "{fault}");
    let twice = [(team("red"), vec![digest("a"), digest("a")])];
    assert!(Teams::new(twice).is_ok());
}

/// Guards against a quota or a team that is ambiguous.
#[test]
fn a_team_that_is_declared_twice_or_has_no_valid_quota_is_refused() {
    let twice = [(team("red"), Vec::new()), (team("red"), Vec::new())];
    assert!(matches!(Teams::new(twice), Err(TeamsFault::SharedName(_))));
    for (rate_per_s, burst) in [
        (-1.0, 1.0),
        (1.0, -1.0),
        (f64::NAN, 1.0),
        (1.0, f64::INFINITY),
    ] {
        let quota = Some(Quota { rate_per_s, burst });
        let one = Team {
            quota,
            ..team("red")
        };
        let fault = Teams::new([(one, Vec::new())]);
        assert!(matches!(fault, Err(TeamsFault::InvalidQuota(_))));
    }
}

/// Guards against a key or its digest in the output of a type that holds one.
#[test]
fn no_debug_output_shows_a_key_or_its_digest() {
    let key = digest("the-key");
    let teams = Teams::new([(team("red"), vec![key])]).expect("valid teams");
    let shown = format!("{teams:?} {key:?}");
    assert!(!shown.contains("the-key") && !shown.contains(&key.to_hex()));
    let error = "zz-the-key".parse::<KeyDigest>().expect_err("no digest");
    assert!(!error.to_string().contains("the-key"));
    assert_eq!(key.to_hex().parse::<KeyDigest>().ok(), Some(key));
}

/// Guards against a proof for a configuration that this instance has received but not applied.
#[test]
fn a_proof_holds_only_once_its_configuration_is_applied() {
    let mut tracker = EvidenceTracker::default();
    tracker.record_applied(10);
    assert!(tracker.add(evidence(10, 100)));
    assert!(!tracker.add(evidence(12, 300)));
    assert_eq!(tracker.age(TimeMs::new(400)), Some(SpanMs::new(300)));
    tracker.record_applied(11);
    assert_eq!(tracker.newest(), Some(evidence(10, 100)));
    tracker.record_applied(12);
    assert_eq!(tracker.newest(), Some(evidence(12, 300)));
}

/// Guards against a late proof that makes a newer one look old, and against one that makes an old one look new.
#[test]
fn only_a_newer_proof_replaces_the_newest() {
    let mut tracker = EvidenceTracker::default();
    tracker.record_applied(10);
    tracker.add(evidence(10, 500));
    assert!(!tracker.add(evidence(10, 400)));
    assert!(!tracker.add(evidence(10, 500)));
    assert_eq!(tracker.newest(), Some(evidence(10, 500)));
}

#[test]
fn many_proofs_that_wait_are_bounded_and_the_newest_is_kept() {
    let mut tracker = EvidenceTracker::default();
    for number in 0..1_000 {
        tracker.add(evidence(20 + number, number));
    }
    tracker.record_applied(2_000);
    assert_eq!(tracker.newest(), Some(evidence(1_019, 999)));
}

/// Guards against a request that is sent without a proof, or with one that is as old as the bound.
#[test]
fn a_request_is_permitted_only_with_a_proof_below_the_bound() {
    let bound = RevocationBound::new(SpanMs::new(5_000));
    assert!(!bound.permits(None));
    assert!(bound.permits(Some(SpanMs::new(0))));
    assert!(bound.permits(Some(bound.max_age())));
    assert!(!bound.permits(Some(SpanMs::new(bound.max_age().get() + 1))));
    assert!(bound.max_age() < SpanMs::new(5_000));
    assert!(bound.proof_period().get() * 4 < bound.max_age().get());
}
