//! The settings of a random run: topology, message loss, and rates of requests and faults.
//!
//! ```
//! use damaskvane_scenario::random;
//!
//! assert_eq!(random::RandomSettings::default().zones, 2);
//! ```

use damaskvane_core::time;

/// The settings of a random run; the default is one minute of virtual time in two zones.
#[derive(Debug, Clone)]
pub struct RandomSettings {
    /// The seed of all random choices: network, faults and traffic.
    pub seed: u64,
    /// The virtual time during which traffic and faults are generated.
    pub span: time::SpanMs,
    /// The number of availability zones.
    pub zones: u32,
    /// The number of entry instances in each zone.
    pub entries_per_zone: u32,
    /// The number of backend servers in each zone.
    pub servers_per_zone: u32,
    /// The number of messages between instances that are lost, per thousand.
    pub loss_permille: u32,
    /// The number of messages between instances that arrive twice, per thousand.
    pub duplicated_permille: u32,
    /// The mean number of faults that begin in a minute of virtual time.
    pub faults_per_minute: u64,
    /// The number of new requests per second of virtual time, without retries.
    pub requests_per_second: u64,
}

impl Default for RandomSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            span: time::SpanMs::new(60_000),
            zones: 2,
            entries_per_zone: 2,
            servers_per_zone: 3,
            loss_permille: 10,
            duplicated_permille: 10,
            faults_per_minute: 20,
            requests_per_second: 40,
        }
    }
}
