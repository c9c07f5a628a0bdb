//! The reference pages list exactly the settings, refusal reasons, retry reasons and reasons without grants of the
//! code.

use std::fs;

use damaskvane_dispatch::{refusal, retry};
use damaskvane_entry::settings::EntrySettings;
use damaskvane_slots::exchange::BlockedBy;
use damaskvane_telemetry::settings::Settings;

fn page(name: &str) -> String {
    let path = format!("{}/../../docs/{name}", env!("CARGO_MANIFEST_DIR"));
    fs::read_to_string(&path).expect("the page exists")
}

#[test]
fn every_settings_key_has_its_line_with_default_and_range() {
    let page = page("SETTINGS.md");
    for key in EntrySettings::KEYS {
        let default = key.default.unwrap_or("required");
        let range = key
            .range
            .map_or_else(|| "text".to_owned(), |range| range.to_string());
        let line = format!("| `{}` | {default} | {range} | {} |", key.name, key.meaning);
        assert!(page.contains(&line), "docs/SETTINGS.md lacks: {line}");
    }
    let rows = page.lines().filter(|line| line.starts_with("| `")).count();
    assert_eq!(
        rows,
        EntrySettings::KEYS.len(),
        "docs/SETTINGS.md has rows for unknown keys"
    );
}

#[test]
fn every_refusal_and_retry_reason_has_its_line() {
    let page = page("COUNTERS.md");
    let mut rows = 0;
    for reason in refusal::RefusalReason::ALL {
        let kind = if reason.means_not_run() {
            "not run"
        } else {
            "unknown"
        };
        let line = format!(
            "| `refused.{}` | {kind} | {} | {} | {} |",
            reason.as_str(),
            reason.status(),
            reason.default_retry_after().get(),
            reason.remedy(),
        );
        assert!(page.contains(&line), "docs/COUNTERS.md lacks: {line}");
        rows += 1;
    }
    for reason in retry::RetryReason::ALL {
        let proof = if reason.proves_not_run() { "yes" } else { "no" };
        let line = format!("| `retried.{}` | {proof} |", reason.as_str());
        assert!(page.contains(&line), "docs/COUNTERS.md lacks: {line}");
        rows += 1;
    }
    let listed = page
        .lines()
        .filter(|line| line.starts_with("| `refused.") || line.starts_with("| `retried."))
        .count();
    assert_eq!(
        listed, rows,
        "docs/COUNTERS.md has rows for unknown reasons"
    );
}

#[test]
fn every_reason_without_grants_has_its_counter_and_its_remedy() {
    let (counters, remedies) = (page("COUNTERS.md"), page("operations/membership.md"));
    let counted = BlockedBy::ALL.into_iter().filter(|by| by.is_of_owner());
    for by in counted.clone() {
        let line = format!("| `slots_blocked_ms.{}` | {by} |", by.as_str());
        assert!(counters.contains(&line), "docs/COUNTERS.md lacks: {line}");
    }
    for by in BlockedBy::ALL {
        let line = format!("| `{}` | ", by.as_str());
        assert!(
            remedies.contains(&line),
            "docs/operations/membership.md lacks: {line}"
        );
    }
    let rows = counters
        .lines()
        .filter(|line| line.starts_with("| `slots_blocked_ms."));
    assert_eq!(
        rows.count(),
        counted.count(),
        "docs/COUNTERS.md has rows for unknown reasons"
    );
}
