//! Times look-ups of keys.

use std::hint;
use std::time::Instant;

use damaskvane_routing::teams::{KeyDigest, Team, Teams};
use serde::Serialize;

const KEYS_PER_TEAM: usize = 4;

/// What was found for one number of teams.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct KeyFigure {
    /// Number of teams.
    pub teams: usize,
    /// Number of keys.
    pub keys: usize,
    /// Mean time of a look-up with the digest of the key, in microseconds.
    pub look_up_us: f64,
    /// Mean time of a look-up of a key that no team holds, in microseconds.
    pub unknown_us: f64,
    /// Memory of the table of keys, in bytes.
    pub table_bytes: usize,
}

fn key(team: usize, number: usize) -> String {
    format!("key-{team:08}-{number:03}")
}

/// Times `look_ups` look-ups among the keys of a number of teams.
///
/// # Panics
///
/// Panics if the generated teams are refused, which their distinct names and keys exclude.
#[must_use]
pub fn measure(team_count: usize, look_ups: usize) -> KeyFigure {
    let declared = (0..team_count).map(|team| {
        let keys = (0..KEYS_PER_TEAM).map(|number| KeyDigest::of_key(key(team, number).as_bytes()));
        let declared = Team {
            name: format!("team-{team}").parse().expect("a valid name"),
            priority: None,
            quota: None,
            allowed_regions: Vec::new(),
        };
        (declared, keys.collect())
    });
    let teams = Teams::new(declared).expect("distinct names and keys");
    let known: Vec<String> = (0..look_ups)
        .map(|number| key(number * 7_919 % team_count, number % KEYS_PER_TEAM))
        .collect();
    let unknown: Vec<String> = known.iter().map(|key| format!("{key}x")).collect();
    let keys = team_count * KEYS_PER_TEAM;
    KeyFigure {
        teams: team_count,
        keys,
        look_up_us: time_us(&teams, &known),
        unknown_us: time_us(&teams, &unknown),
        table_bytes: keys * size_of::<(KeyDigest, u32)>(),
    }
}

fn time_us(teams: &Teams, keys: &[String]) -> f64 {
    let started = Instant::now();
    for key in keys {
        hint::black_box(teams.holder(KeyDigest::of_key(key.as_bytes())));
    }
    started.elapsed().as_secs_f64() * 1e6 / keys.len().max(1) as f64
}
