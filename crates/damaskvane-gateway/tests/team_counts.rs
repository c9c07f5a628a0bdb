//! Tests of the counts of refused requests by team.

use damaskvane_gateway::team_counts::TeamCounts;

/// Guards against as many metrics as there are teams.
#[test]
fn only_the_teams_with_the_most_refusals_are_named() {
    let counts = TeamCounts::default();
    for team in 1..=100_u64 {
        let name = format!("team-{team}").parse().expect("a name");
        for _ in 0..team {
            counts.record(&name);
        }
    }
    let (highest, others) = counts.highest();
    let named: Vec<u64> = highest.iter().map(|(_, count)| *count).collect();
    assert_eq!(named, (91..=100).rev().collect::<Vec<_>>());
    assert_eq!(others, (1..=90).sum::<u64>());
}

/// Guards against memory that grows with made-up names.
#[test]
fn teams_beyond_the_largest_number_are_counted_together() {
    let counts = TeamCounts::default();
    for team in 0..25_000 {
        counts.record(&format!("team-{team}").parse().expect("a name"));
    }
    let (highest, others) = counts.highest();
    assert_eq!(highest.len() as u64 + others, 25_000);
}
