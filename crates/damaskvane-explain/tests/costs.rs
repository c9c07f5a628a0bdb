//! Tests of the table of costs, with log lines in the form in which instances write them.

use damaskvane_explain::{costs, losses};

fn start_line(instance: &str, zone: &str) -> String {
    format!(
        r#"{{"msg":"start","instance":"{instance}","zone":"{zone}","ts":"2026-12-01T10:00:00.000Z"}}"#
    )
}

fn costs_line(instance: &str, second: u32, figures: &str) -> String {
    format!(
        r#"{{"msg":"costs","instance":"{instance}","ts":"2026-12-01T10:00:{second:02}.000Z","figures":"{figures}"}}"#
    )
}

fn table(lines: &[String]) -> costs::Table {
    let mut table = costs::Table::default();
    for (number, line) in (1..).zip(lines) {
        table.read_line("mixed.log", number, line);
    }
    table
}

/// Guards against sums that add up the totals of all lines: instances log their totals since their start.
#[test]
fn consecutive_lines_of_an_instance_add_up_to_its_last_totals() {
    let table = table(&[
        start_line("a-1", "a"),
        start_line("b-1", "b"),
        costs_line("a-1", 5, "calls.servers.list.ok=3 openings.probe=1"),
        costs_line("b-1", 5, "calls.servers.list.ok=10"),
        costs_line("a-1", 10, "calls.servers.list.ok=4 openings.probe=1"),
    ]);
    assert_eq!(table.total("calls.servers.list.ok"), 14);
    assert_eq!(table.total("openings.probe"), 1);
    let in_a: u64 = table
        .rows()
        .filter(|row| row.zone == "a" && row.cause.starts_with("calls"))
        .map(|row| row.count)
        .sum();
    assert_eq!(in_a, 4);
    let late: Vec<_> = table.rows().filter(|row| row.from_s == 10).collect();
    assert_eq!(late.len(), 1);
}

/// Guards against lost counts after an instance restarts and its totals are below those before the restart.
#[test]
fn the_counts_of_a_restarted_instance_are_added() {
    let table = table(&[
        start_line("a-1", "a"),
        costs_line("a-1", 5, "openings.none_kept=9"),
        start_line("a-1", "a"),
        costs_line("a-1", 20, "openings.none_kept=2"),
    ]);
    assert_eq!(table.total("openings.none_kept"), 11);
}

#[test]
fn a_line_that_cannot_be_read_is_named_and_the_others_count() {
    let table = table(&[
        start_line("a-1", "a"),
        "no line".to_owned(),
        costs_line("a-1", 5, "openings.probe=many"),
        costs_line("a-1", 10, "openings.probe=2"),
    ]);
    let named: Vec<String> = table
        .unreadable_lines()
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(named.len(), 2);
    assert!(named[0].starts_with("mixed.log:2:"), "{named:?}");
    assert!(named[1].starts_with("mixed.log:3:"), "{named:?}");
    assert_eq!(table.total("openings.probe"), 2);
}

/// Guards against counting all losses for the zone of the last instance in a file.
#[test]
fn lines_of_several_instances_in_one_file_keep_their_zones() {
    let refused = |instance: &str| {
        format!(
            r#"{{"msg":"request not served","instance":"{instance}","request_id":"{instance}","reason":"overloaded","route":"look","ts":"2026-12-01T10:00:01.000Z"}}"#
        )
    };
    let lines = [
        start_line("a-1", "a"),
        start_line("b-1", "b"),
        refused("a-1"),
        start_line("c-1", "c"),
        refused("b-1"),
        refused("c-1"),
        refused("a-1").replace("\"request_id\":\"a-1\"", "\"request_id\":\"a-2\""),
    ];
    let text = lines.join("\n");
    let table = losses::Table::of([("mixed.log", text.as_str())]);
    let zones: Vec<(String, u64)> = table
        .rows()
        .map(|row| (row.zone.clone(), row.requests))
        .collect();
    let expected = [("a", 2), ("b", 1), ("c", 1)];
    let expected: Vec<_> = expected
        .iter()
        .map(|(zone, requests)| ((*zone).to_owned(), *requests))
        .collect();
    assert_eq!(zones, expected);
}
