//! Prints the addresses that the process listens on, for the program that started it.
//!
//! ```text
//! {"client":"127.0.0.1:40001","operator":"127.0.0.1:40002","peer":"127.0.0.1:40003"}
//! ```

use damaskvane_objects::api;
use serde::Serialize;

#[derive(Debug, Serialize)]
struct Ready {
    client: String,
    operator: String,
    peer: String,
}

/// Prints the client, operator and peer address as one JSON line on standard output.
pub(super) fn announce(record: &api::InstanceRecord) {
    let ready = Ready {
        client: record.client_address.to_string(),
        operator: record.operator_address.to_string(),
        peer: record.peer_address.to_string(),
    };
    println!("{}", serde_json::to_string(&ready).unwrap_or_default());
}
