//! Settings of a random run.
//!
//! ```
//! use damaskvane_scenario::random;
//!
//! assert_eq!(random::RandomSettings::default().zones, 2);
//! ```

use damaskvane_core::time;

/// Settings of a random run.
#[derive(Debug, Clone)]
pub struct RandomSettings {
    /// The seed of everything.
    pub seed: u64,
    /// How much virtual time passes under traffic and faults.
    pub span: time::SpanMs,
    /// Availability zones.
    pub zones: u32,
    /// Entry instances in each.
    pub entries_a_zone: u32,
    /// Backend servers in each.
    pub servers_a_zone: u32,
    /// How many of a thousand messages between instances are lost.
    pub loss_permille: u32,
    /// How many of a thousand messages between instances arrive twice.
    pub duplicated_permille: u32,
    /// How many faults begin in a minute.
    pub faults_per_minute: u64,
    /// How many requests clients begin in a second.
    pub requests_a_second: u64,
}

impl Default for RandomSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            span: time::SpanMs::new(60_000),
            zones: 2,
            entries_a_zone: 2,
            servers_a_zone: 3,
            loss_permille: 10,
            duplicated_permille: 10,
            faults_per_minute: 20,
            requests_a_second: 40,
        }
    }
}
