//! The settings of an entry instance, with their defaults and ranges.
//!
//! ```
//! use damaskvane_entry::settings;
//!
//! let defaults = settings::EntrySettings::default();
//! assert_eq!(defaults.body_limit_bytes, 1_048_576);
//! ```

mod check;

use damaskvane_core::ids;
use damaskvane_telemetry::{logging, settings};
use serde::Deserialize;

const ANY_PORT: &str = "127.0.0.1:0";

/// Contents of the settings file of an entry instance.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct EntrySettings {
    /// Name of this instance, under which the platform and the peers list it.
    pub instance: ids::InstanceId,
    /// Availability zone of this instance.
    pub availability_zone: ids::AvailabilityZoneId,
    /// Region of this instance's availability zone.
    pub region: ids::RegionId,
    /// Listen address for clients, as `address:port`; port 0 selects a free port.
    pub client_address: String,
    /// Listen address for operators, as `address:port`; port 0 selects a free port.
    pub operator_address: String,
    /// Listen address for other entry instances, as `address:port`; port 0 selects a free port.
    pub peer_address: String,
    /// Peers from which this instance requests the list of instances while the platform is down:
    /// `instance@address`, separated by commas; empty for none.
    pub seed_peers: String,
    /// Address of the platform's object API, as `host:port`.
    pub platform_address: String,
    /// Path of the file that holds the credential for the object API.
    pub token_file: String,
    /// Address of the statsd server for metrics, as `address:port`; empty for none.
    pub statsd_address: String,
    /// Lowest level that is logged.
    pub log_level: logging::Level,
    /// Maximum number of concurrent client connections.
    pub connection_limit: usize,
    /// Timeout for a client to send the head of a request, in milliseconds.
    pub head_timeout_ms: u64,
    /// Timeout for a client to send the body of a request, in milliseconds.
    pub body_timeout_ms: u64,
    /// Maximum time in milliseconds that sent bytes may stay unacknowledged before the client's connection is
    /// closed.
    pub write_timeout_ms: u64,
    /// Maximum size of a request's head, in bytes.
    pub head_limit_bytes: usize,
    /// Maximum size of the body of a request and of a backend server's response, in bytes.
    pub body_limit_bytes: usize,
    /// Maximum number of concurrent exchanges with backend servers.
    pub exchange_limit: usize,
    /// Minimum period of heartbeats to other entry instances, in milliseconds.
    pub heartbeat_ms: u64,
    /// Time in milliseconds after the start of the process before clients are accepted. Lookup responses
    /// that clients have cached expire in this time. Zero also skips the wait for slots, the rights to run
    /// requests on backend servers.
    pub settle_ms: u64,
    /// Timeout of a planned stop, in milliseconds.
    pub stop_timeout_ms: u64,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            instance: "entry".parse().expect("a valid identifier"),
            availability_zone: "zone".parse().expect("a valid identifier"),
            region: "region".parse().expect("a valid identifier"),
            client_address: ANY_PORT.to_owned(),
            operator_address: ANY_PORT.to_owned(),
            peer_address: ANY_PORT.to_owned(),
            seed_peers: String::new(),
            platform_address: String::new(),
            token_file: String::new(),
            statsd_address: String::new(),
            log_level: logging::Level::default(),
            connection_limit: 2_048,
            head_timeout_ms: 5_000,
            body_timeout_ms: 10_000,
            write_timeout_ms: 10_000,
            head_limit_bytes: 16_384,
            body_limit_bytes: 1_048_576,
            exchange_limit: 256,
            heartbeat_ms: 500,
            settle_ms: 3_000,
            stop_timeout_ms: 30_000,
        }
    }
}

impl settings::Settings for EntrySettings {
    const KEYS: &'static [settings::Key] = &[
        settings::Key::required("instance", "name of this instance"),
        settings::Key::required("availability_zone", "availability zone it stands in"),
        settings::Key::required("region", "region it stands in"),
        settings::Key::text("client_address", ANY_PORT, "where clients reach it"),
        settings::Key::text("operator_address", ANY_PORT, "where operators reach it"),
        settings::Key::text("peer_address", ANY_PORT, "where other instances reach it"),
        settings::Key::text(
            "seed_peers",
            "",
            "instances to ask while the platform is down: instance@address, ...",
        ),
        settings::Key::required("platform_address", "address of the object API"),
        settings::Key::required("token_file", "file with the credential for the object API"),
        settings::Key::text(
            "statsd_address",
            "",
            "statsd server for metrics; empty for none",
        ),
        settings::Key::text("log_level", "info", "debug, info, warning or error"),
        settings::Key::number(
            "connection_limit",
            "2048",
            1,
            65_536,
            "most client connections at a time",
        ),
        settings::Key::number(
            "head_timeout_ms",
            "5000",
            100,
            60_000,
            "longest time to send a request's head",
        ),
        settings::Key::number(
            "body_timeout_ms",
            "10000",
            100,
            600_000,
            "longest time to send a request's body",
        ),
        settings::Key::number(
            "write_timeout_ms",
            "10000",
            100,
            600_000,
            "longest time that sent bytes stay unacknowledged",
        ),
        settings::Key::number(
            "head_limit_bytes",
            "16384",
            8_192,
            1_048_576,
            "largest head of a request",
        ),
        settings::Key::number(
            "body_limit_bytes",
            "1048576",
            1_024,
            16_777_216,
            "largest body of a request or an answer",
        ),
        settings::Key::number(
            "exchange_limit",
            "256",
            1,
            4_096,
            "most exchanges with backend servers at a time",
        ),
        settings::Key::number(
            "heartbeat_ms",
            "500",
            50,
            10_000,
            "period of heartbeats to other instances",
        ),
        settings::Key::number(
            "settle_ms",
            "3000",
            0,
            60_000,
            "time until clients are let in, so that older look-up answers lapse; 0 also skips the wait for slots",
        ),
        settings::Key::number(
            "stop_timeout_ms",
            "30000",
            1_000,
            600_000,
            "longest time for a planned stop",
        ),
    ];

    fn check(&self) -> Result<(), settings::WrongValue> {
        check::all(self)
    }
}
