//! Settings of an entry instance, from a TOML file that is read at the start and reloaded when it changes.
//!
//! Unknown keys are ignored, so that an older program accepts a settings file made for a newer program.

use std::collections::HashMap;
use std::net;
use std::path;

use damaskvane_core::ids;
use damaskvane_core::time::SpanMs;
use damaskvane_routing::{limit, peers, placement, pool, quota, teams};
use damaskvane_telemetry::settings::{SettingsError, WrongValue};
use serde::Deserialize;

use crate::decision_log::DecisionLogSettings;

/// Settings of an entry instance.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct GatewaySettings {
    /// Name of the instance, which stays the same when the instance restarts.
    pub instance: ids::InstanceId,
    /// Availability zone of the instance.
    pub zone: ids::AvailabilityZoneId,
    /// Region of the instance.
    pub region: ids::RegionId,
    /// Region of each availability zone.
    pub regions: HashMap<ids::AvailabilityZoneId, ids::RegionId>,
    /// Address on which clients' requests are served.
    pub client_address: net::SocketAddr,
    /// Address on which the platform's readiness checks are served.
    pub ready_address: net::SocketAddr,
    /// Address on which clients' lookups (requests for the addresses of instances) are served; not served if absent.
    pub lookup_address: Option<net::SocketAddr>,
    /// Address on which this instance receives messages of other instances and sends them the store's changes.
    pub peer_address: net::SocketAddr,
    /// Addresses of instances through which this instance discovers the other instances while the store is unavailable.
    ///
    /// Only the IP addresses are used; messages are sent to the port of `peer_address`, on which all instances listen.
    #[serde(default)]
    pub seeds: Vec<net::SocketAddr>,
    /// Address on which metrics are served; not served if absent.
    pub metrics_address: Option<net::SocketAddr>,
    /// Address of the platform's store.
    pub store_address: net::SocketAddr,
    /// Seconds for which the store retains its history of changes.
    #[serde(default = "default_store_history_s")]
    pub store_history_s: f64,
    /// Milliseconds for which the platform must have worked without faults before its limits apply.
    pub contact_ms: f64,
    /// Seconds that a planned stop may take before the platform kills the process.
    pub grace_s: f64,
    /// Limit on retries: number of retries allowed for each request; may be a fraction.
    pub retry_ratio: f64,
    /// Limit on retries: number of retries in a window that all instances together may send in addition.
    pub retry_slack: f64,
    /// Limit on retries: length in seconds of the window in which requests and retries are counted.
    pub retry_window_s: f64,
    /// Limit on cold servers, which have started recently: factor by which the request rate that their service declares
    /// is multiplied.
    pub cold_factor: f64,
    /// Limit on cold servers: requests a second that are allowed in addition to the multiplied rate.
    pub cold_slack: f64,
    /// Whether a request with a revoked key must be refused everywhere within `revoke_ms`, by instances that are cut off
    /// from the platform too.
    #[serde(default)]
    pub strict_revocation: bool,
    /// Milliseconds from the revocation of a key until no instance may run its requests.
    #[serde(default)]
    pub revoke_ms: f64,
    /// Bound on teams' requests: length in seconds of the window in which they are counted.
    #[serde(default = "default_quota_window_s")]
    pub quota_window_s: f64,
    /// Bound on teams' requests: share by which their quotas may be exceeded.
    #[serde(default)]
    pub quota_over: f64,
    /// Bound on teams' requests: number in a window by which their quotas may be exceeded in addition.
    #[serde(default)]
    pub quota_slack: f64,
    /// Whether pools of teams' tokens earn faster while the part of the bound that is reserved for a burst is unused,
    /// and keep their last tokens for urgent requests.
    #[serde(default)]
    pub quota_uses_unused_burst: bool,
    /// Longest time to live of a lookup's response, in seconds.
    pub lookup_ttl_max_s: f64,
    /// Largest number of open file descriptors of the process.
    pub max_descriptors: usize,
    /// Memory available to the process, in megabytes.
    pub memory_mb: u64,
    /// Largest number of requests of one client's connection that are at work or whose responses are not written; 1 serves
    /// requests one after another.
    #[serde(default = "default_max_pipelined_requests")]
    pub max_pipelined_requests: usize,
    /// Lowest level of log lines that are written.
    #[serde(default)]
    pub log_level: damaskvane_telemetry::logging::Level,
    /// Limits on the number of log lines about requests.
    #[serde(default)]
    pub decision_log: DecisionLogSettings,
    /// Settings of placement: to which server a request is sent, and when it is refused.
    #[serde(default)]
    pub placement: placement::PlacementSettings,
}

/// Most requests of one connection that may be at work: more would let one client take all servers' slots.
const MAX_PIPELINED_REQUESTS: usize = 64;

/// Shortest bound on revocations, in milliseconds: a proof takes a part of a second from the store to all instances.
const MIN_REVOKE_MS: f64 = 1_000.0;

/// Returns the time in seconds for which the store is assumed to retain its changes if the settings have no
/// `store_history_s`.
const fn default_store_history_s() -> f64 {
    20.0
}

/// Returns the window in seconds in which a team's requests are counted if the settings have no `quota_window_s`.
const fn default_quota_window_s() -> f64 {
    5.0
}

/// Returns the value of `max_pipelined_requests` if the settings have none: requests are served one after another.
const fn default_max_pipelined_requests() -> usize {
    1
}

const NUMBERS_REMEDY: &str = "write a number of at least 0";

impl GatewaySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, is not valid TOML or has a value out of range; the error names the file, and
    /// for a value out of range its key and the remedy.
    pub fn load(path: impl AsRef<path::Path>) -> Result<Self, SettingsError> {
        let file = path.as_ref().display().to_string();
        let text =
            std::fs::read_to_string(path.as_ref()).map_err(|error| SettingsError::Unreadable {
                file: file.clone(),
                error: error.to_string(),
            })?;
        Self::parse(&file, &text)
    }

    /// Parses and checks the text of a settings file; `file` is only used in errors.
    ///
    /// # Errors
    ///
    /// Fails if the text is not valid TOML or has a value out of range.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text).map_err(|error| SettingsError::Malformed {
            file: file.to_owned(),
            error: error.to_string().trim().to_owned(),
        })?;
        settings.check(file)?;
        Ok(settings)
    }

    fn check(&self, file: &str) -> Result<(), SettingsError> {
        let numbers = [
            ("store_history_s", self.store_history_s),
            ("contact_ms", self.contact_ms),
            ("grace_s", self.grace_s),
            ("retry_ratio", self.retry_ratio),
            ("retry_slack", self.retry_slack),
            ("retry_window_s", self.retry_window_s),
            ("cold_factor", self.cold_factor),
            ("cold_slack", self.cold_slack),
            ("revoke_ms", self.revoke_ms),
            ("quota_window_s", self.quota_window_s),
            ("quota_over", self.quota_over),
            ("quota_slack", self.quota_slack),
            ("lookup_ttl_max_s", self.lookup_ttl_max_s),
        ];
        let wrong = numbers
            .iter()
            .find(|(_, value)| !value.is_finite() || *value < 0.0);
        match wrong {
            None if self.strict_revocation && self.revoke_ms < MIN_REVOKE_MS => {
                Err(SettingsError::Wrong {
                    file: file.to_owned(),
                    wrong: WrongValue::new(
                        "revoke_ms",
                        self.revoke_ms.to_string(),
                        "too short for strict_revocation",
                        "write the platform's bound, 1000 or more",
                    ),
                })
            }
            None if !(1..=MAX_PIPELINED_REQUESTS).contains(&self.max_pipelined_requests) => {
                Err(SettingsError::Wrong {
                    file: file.to_owned(),
                    wrong: WrongValue::new(
                        "max_pipelined_requests",
                        self.max_pipelined_requests.to_string(),
                        "out of range",
                        "write a number from 1 to 64",
                    ),
                })
            }
            None => Ok(()),
            Some((key, value)) => Err(SettingsError::Wrong {
                file: file.to_owned(),
                wrong: WrongValue::new(key, value.to_string(), "out of range", NUMBERS_REMEDY),
            }),
        }
    }

    /// Returns the settings of the pool of backend servers.
    #[must_use]
    pub fn pool(&self) -> pool::PoolSettings {
        pool::PoolSettings {
            cold_rate: limit::ColdRateSettings {
                factor: self.cold_factor,
                slack: self.cold_slack,
                ..limit::ColdRateSettings::default()
            },
            regions: self.regions.clone(),
            expiry_grace_ms: expiry_grace_ms(self.contact_ms),
        }
    }

    /// Returns the settings of the retry budgets.
    #[must_use]
    pub fn retry_budget(&self) -> limit::RetryBudgetSettings {
        limit::RetryBudgetSettings {
            ratio: self.retry_ratio,
            slack: self.retry_slack,
            window_ms: (self.retry_window_s * 1_000.0) as u64,
            ..limit::RetryBudgetSettings::default()
        }
    }

    /// Returns the bound on the revocation of keys, or `None` if an instance that is cut off may use old keys.
    #[must_use]
    pub fn revocation_bound(&self) -> Option<teams::RevocationBound> {
        let bound = SpanMs::new(self.revoke_ms as u64);
        self.strict_revocation
            .then_some(teams::RevocationBound::new(bound))
    }

    /// Returns the settings of teams' quotas.
    #[must_use]
    pub fn quota(&self) -> quota::QuotaSettings {
        quota::QuotaSettings {
            window_ms: (self.quota_window_s * 1_000.0) as u64,
            over: self.quota_over,
            slack: self.quota_slack,
            pools: self.regions.len(),
            uses_unused_burst: self.quota_uses_unused_burst,
            ..quota::QuotaSettings::default()
        }
    }

    /// Returns the maximum time in milliseconds that a watch, a call that waits for changes of the store, may wait.
    ///
    /// A watch that waits longer than the store retains its history may miss changes. This instance would then have to
    /// read whole collections again, and the instances that receive its changes would meanwhile switch to another
    /// source.
    #[must_use]
    pub fn watch_wait_ms(&self) -> u64 {
        const MAX_WAIT_MS: f64 = 25_000.0;
        const HISTORY_SHARE: f64 = 0.75;
        (self.store_history_s * 1_000.0 * HISTORY_SHARE).min(MAX_WAIT_MS) as u64
    }

    /// Returns the interval at which an instance that watches the store reads the store's revision.
    ///
    /// Changes that a watch has missed must be learned within `contact_ms` of the last fault, and a part of it is needed
    /// to read them and to send them to all instances.
    #[must_use]
    pub fn revision_check_period(&self) -> SpanMs {
        const CHECKS_PER_CONTACT: f64 = 2.0;
        const MIN_PERIOD_MS: f64 = 500.0;
        SpanMs::new((self.contact_ms / CHECKS_PER_CONTACT).max(MIN_PERIOD_MS) as u64)
    }

    /// Returns the peer addresses of the seed instances, for use until the store's list of instances was read.
    pub fn seed_addresses(&self) -> impl Iterator<Item = net::SocketAddr> {
        let port = self.peer_address.port();
        let seeds = self.seeds.iter();
        seeds.map(move |seed| net::SocketAddr::new(seed.ip(), port))
    }

    /// Returns the settings of heartbeats and membership.
    #[must_use]
    pub fn peers(&self) -> peers::PeerSettings {
        peers::PeerSettings::default()
    }
}

/// Returns the time in milliseconds, after the end of a store outage was detected, for which servers are retained whose
/// entries have expired during the outage.
///
/// Live servers have written their entries again within about two seconds after the outage. The end of the outage may
/// be detected a second late, and servers without an entry must get no more requests when the platform's limits apply
/// again, after `contact_ms`.
fn expiry_grace_ms(contact_ms: f64) -> u64 {
    const MAX_RETURN_MS: f64 = 2_000.0;
    const DETECTION_DELAY_MS: f64 = 1_100.0;
    (contact_ms - DETECTION_DELAY_MS).clamp(0.0, MAX_RETURN_MS) as u64
}
