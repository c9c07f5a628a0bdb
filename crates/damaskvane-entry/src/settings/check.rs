//! Checks of settings beyond their types: addresses, seeds, and the credential file.
//!
//! ```text
//! peer_address = "here" can't be used (invalid socket address syntax); write address and port as in
//! 127.0.0.1:7001
//! ```

use std::fs;
use std::net;

use damaskvane_objects::credential;
use damaskvane_telemetry::settings::WrongValue;

use crate::peers;
use crate::settings::EntrySettings;

const ADDRESS_REMEDY: &str = "write address and port as in 127.0.0.1:7001";
const HOST_REMEDY: &str = "write host and port as in platform.example:7000";
const SEEDS_REMEDY: &str =
    "write instance@address, as in sask-a-1@127.0.0.1:7003, with commas between several seeds";
const TOKEN_REMEDY: &str = "name a file that holds the credential";

pub(super) fn all(settings: &EntrySettings) -> Result<(), WrongValue> {
    address("client_address", &settings.client_address)?;
    address("operator_address", &settings.operator_address)?;
    address("peer_address", &settings.peer_address)?;
    if !settings.statsd_address.is_empty() {
        address("statsd_address", &settings.statsd_address)?;
    }
    host("platform_address", &settings.platform_address)?;
    peers::Seeds::parse(&settings.seed_peers).map_err(|error| {
        WrongValue::new("seed_peers", &settings.seed_peers, &error, SEEDS_REMEDY)
    })?;
    token(&settings.token_file)
}

fn address(key: &'static str, value: &str) -> Result<(), WrongValue> {
    let parsed: Result<net::SocketAddr, _> = value.parse();
    parsed
        .map(|_| ())
        .map_err(|error| WrongValue::new(key, value, &error, ADDRESS_REMEDY))
}

fn host(key: &'static str, value: &str) -> Result<(), WrongValue> {
    let port = value.rsplit_once(':').map(|(_, port)| port.parse::<u16>());
    match port {
        Some(Ok(_)) => Ok(()),
        _ => Err(WrongValue::new(
            key,
            value,
            "port is missing or invalid",
            HOST_REMEDY,
        )),
    }
}

fn token(path: &str) -> Result<(), WrongValue> {
    let invalid = |error: &dyn ToString| {
        WrongValue::new("token_file", path, &error.to_string(), TOKEN_REMEDY)
    };
    let text = fs::read_to_string(path).map_err(|error| invalid(&error))?;
    let parsed: Result<credential::Token, _> = text.trim().parse();
    parsed.map(|_| ()).map_err(|error| invalid(&error))
}
