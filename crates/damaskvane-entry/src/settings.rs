//! The settings file of an entry instance.
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

/// Everything that an entry instance learns from its settings file.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct EntrySettings {
    /// The name of this instance.
    pub instance: ids::InstanceId,
    /// The availability zone it stands in.
    pub availability_zone: ids::AvailabilityZoneId,
    /// The region it stands in.
    pub region: ids::RegionId,
    /// Where clients reach it.
    pub client_address: String,
    /// Where operators reach it.
    pub operator_address: String,
    /// Where other entry instances reach it.
    pub peer_address: String,
    /// Instances to ask while the platform is down, as `instance@address`.
    pub seed_peers: String,
    /// The platform's object API.
    pub platform_address: String,
    /// A file that holds the credential for the object API.
    pub token_file: String,
    /// A statsd server for metrics; empty for none.
    pub statsd_address: String,
    /// How much is logged.
    pub log_level: logging::Level,
    /// Most client connections at a time.
    pub connection_limit: usize,
    /// Longest time for a client to send a request's head.
    pub head_timeout_ms: u64,
    /// Longest time for a client to send a request's body.
    pub body_timeout_ms: u64,
    /// Longest time that sent bytes stay unacknowledged before a client's connection is closed.
    pub write_timeout_ms: u64,
    /// Largest head of a request.
    pub head_limit_bytes: usize,
    /// Largest body of a request, and of an answer of a backend server.
    pub body_limit_bytes: usize,
    /// Most exchanges with backend servers at a time.
    pub exchange_limit: usize,
    /// Period of heartbeats to other entry instances.
    pub heartbeat_ms: u64,
    /// Time from the start until clients are let in, so that older look-up answers lapse.
    pub settle_ms: u64,
    /// Longest time for a planned stop.
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
