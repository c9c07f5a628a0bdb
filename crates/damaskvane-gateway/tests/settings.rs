//! Tests of values that are derived from the settings file, and of errors in the file.

use damaskvane_gateway::settings::GatewaySettings;

/// Returns the text of a valid settings file with one additional line.
fn text(line: &str) -> String {
    format!(
        r#"instance = "east-a-1"
zone = "east-a"
region = "east"
client_address = "127.0.0.1:1"
ready_address = "127.0.0.1:2"
peer_address = "127.0.0.1:3"
store_address = "127.0.0.1:4"
contact_ms = 3000
grace_s = 6
retry_ratio = 0.2
retry_slack = 50
retry_window_s = 10
cold_factor = 1.5
cold_slack = 5
lookup_ttl_max_s = 5
max_descriptors = 4096
memory_mb = 260
{line}

[regions]
east-a = "east"
"#
    )
}

fn settings(line: &str) -> GatewaySettings {
    GatewaySettings::parse("test.toml", &text(line)).expect("valid settings")
}

/// A watch is a call to the store that waits for changes after a revision. If it waits until the store no longer
/// retains this revision, it returns without a result. The instance then lists everything again, and all instances that
/// receive changes from this instance call the store, at the same moment on every machine.
#[test]
fn a_watch_waits_for_less_than_the_store_retains_its_history() {
    assert_eq!(settings("store_history_s = 8").watch_wait_ms(), 6_000);
    assert_eq!(settings("").watch_wait_ms(), 15_000);
    assert_eq!(settings("store_history_s = 600").watch_wait_ms(), 25_000);
}

/// Without the key a connection's requests are served one after another, as by a program that doesn't know the key. With 0
/// no request would ever be read.
#[test]
fn pipelined_requests_are_bounded_and_off_by_default() {
    assert_eq!(settings("").max_pipelined_requests, 1);
    assert_eq!(
        settings("max_pipelined_requests = 8").max_pipelined_requests,
        8
    );
    for wrong in [0, 65] {
        let text = text(&format!("max_pipelined_requests = {wrong}"));
        let error = GatewaySettings::parse("test.toml", &text).expect_err("a wrong number");
        assert!(error.to_string().contains("max_pipelined_requests"));
    }
}

#[test]
fn an_out_of_range_error_names_the_key() {
    let text = text("store_history_s = -1");
    let error = GatewaySettings::parse("test.toml", &text).expect_err("a wrong number");
    assert!(error.to_string().contains("store_history_s"));
}

/// Guards against another way to keep quotas in a deployment that does not ask for it.
#[test]
fn pools_use_an_unused_burst_only_if_the_settings_say_so() {
    assert!(!settings("").quota().uses_unused_burst);
    let line = "quota_uses_unused_burst = true";
    assert!(settings(line).quota().uses_unused_burst);
}

/// Guards against a key that is read by nobody, and against even load where no operator has asked for it.
#[test]
fn even_load_is_off_unless_the_table_of_placement_sets_it() {
    assert!(!settings("").placement.even_load);
    let text = text("") + "\n[placement]\neven_load = true\n";
    let settings = GatewaySettings::parse("test.toml", &text).expect("valid settings");
    assert!(settings.placement.even_load);
    assert!((settings.placement.load_limit - 2.5).abs() < f64::EPSILON);
}
