//! Names, records and settings of the simulated zone.

use damaskvane_core::{ids, time};
use damaskvane_membership::{record, settings as membership_settings};
use damaskvane_slots::settings;

pub(crate) fn id(name: &str) -> ids::InstanceId {
    name.parse().expect("a valid name")
}

pub(crate) fn ms(ms: u64) -> time::SpanMs {
    time::SpanMs::new(ms)
}

pub(crate) fn at(ms: u64) -> time::TimeMs {
    time::TimeMs::new(ms)
}

pub(crate) fn server(number: usize) -> ids::BackendServerId {
    format!("rider-desk-{number}")
        .parse()
        .expect("a valid name")
}

pub(super) fn record(name: &ids::InstanceId, incarnation: u64) -> record::InstanceRecord {
    let address = "127.0.0.1:1".parse().expect("an address");
    record::InstanceRecord {
        instance: name.clone(),
        zone: "a".parse().expect("a valid zone"),
        region: "r".parse().expect("a valid region"),
        incarnation: ids::Incarnation::new(incarnation),
        client_address: address,
        peer_address: address,
        operator_address: address,
        leaving: false,
        fenced: false,
        goes_on_alone: false,
    }
}

/// The lag of the list and the duration of the authority in the settings below.
pub(crate) const STARTING_MS: u64 = 5_000;

/// Returns settings with timeouts short enough for many changes of owner in a run.
pub(super) fn membership_settings(starting_ms: u64) -> membership_settings::MembershipSettings {
    membership_settings::MembershipSettings {
        min_suspect_ms: ms(500),
        min_dead_ms: ms(1_000),
        first_heartbeat_timeout_ms: ms(1_000),
        authority_ms: ms(4_000),
        cut_off_authority_ms: ms(20_000),
        list_lag_ms: ms(1_000),
        platform_lost_ms: ms(1_000),
        fence_after_ms: ms(500),
        starting_ms: ms(starting_ms),
        pause_ms: ms(300),
        retry_ms: ms(300),
        ..membership_settings::MembershipSettings::default()
    }
}

pub(crate) fn slot_settings() -> settings::SlotSettings {
    settings::SlotSettings {
        lease_ms: ms(1_500),
        margin_ms: ms(200),
        unknown_fence_ms: ms(5_000),
        ..settings::SlotSettings::default()
    }
}
