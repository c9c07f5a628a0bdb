//! Tests of the table of losses, with log lines in the form in which instances write them.

use damaskvane_explain::losses::{self, Cause, FirstRun, NotServedReason, Table};

const START: &str = r#"{"msg":"start","zone":"east-a"}"#;

/// Returns the line of a late response, with additional `fields`.
fn late_line(server: &str, fields: &str) -> String {
    format!(
        r#"{{"msg":"exchange ended","ts":"2026-01-01T00:00:05Z","route":"look","object":7,"backend_server":"{server}",
        "server_zone":"east-a","outcome":"answered","took_ms":400,"after_ms":400,"objective_ms":250,
        "remembered_ms":100.0,"first_ms":350.0,"tried":0,"load":0.2,"waiting":0{fields}}}"#
    )
    .replace('\n', "")
}

fn causes(lines: &[String]) -> Vec<(Cause, u64)> {
    let text = format!("{START}\n{}", lines.join("\n"));
    let table = Table::of([("a.log", text.as_str())]);
    let all = [
        FirstRun::First,
        FirstRun::Left,
        FirstRun::Evacuated,
        FirstRun::Restarted,
        FirstRun::Moved,
        FirstRun::Cold,
        FirstRun::Full,
        FirstRun::Busy,
        FirstRun::Slow,
        FirstRun::Failing,
        FirstRun::Stalled,
        FirstRun::LowerScore,
        FirstRun::Evicted,
    ];
    let late = [
        Cause::Waited,
        Cause::Retried,
        Cause::SlowServer,
        Cause::Unexplained,
    ];
    let all = all.map(Cause::FirstRun).into_iter().chain(late);
    let counted = all.map(|cause| (cause, table.count(cause)));
    let found: Vec<_> = counted.filter(|(_, requests)| *requests > 0).collect();
    let sum: u64 = found.iter().map(|(_, requests)| requests).sum();
    assert_eq!(sum, table.total(), "each request has one cause");
    found
}

/// A server that had handled the object before responds late because of a queue, a slow server, an eviction or an
/// unknown reason. The causes must not be mixed, because each needs another remedy.
#[test]
fn a_server_that_had_run_the_object() {
    let first = late_line("s-0", "");
    let sent = r#","was_sent":true"#;
    let cases = [
        (format!(r#"{sent},"waiting":3"#), Cause::Waited),
        (format!(r#"{sent},"load":1.2"#), Cause::Waited),
        (sent.to_owned(), Cause::FirstRun(FirstRun::Evicted)),
        (r#","first_ms":900.0"#.to_owned(), Cause::SlowServer),
        (
            r#","first_ms":900.0,"remembered_ms":380.0"#.to_owned(),
            Cause::Unexplained,
        ),
    ];
    for (fields, cause) in cases {
        let found = causes(&[first.clone(), late_line("s-0", &fields)]);
        assert!(found.contains(&(cause, 1)), "{fields}: {found:?}");
        assert_eq!(found.len(), 2, "{fields}: {found:?}");
    }
}

/// A second server handles an object and takes several times as long. The line contains the reason why the object's
/// first server was passed over.
#[test]
fn an_object_that_ran_elsewhere_before() {
    let labels = [
        ("cold", FirstRun::Cold),
        ("full", FirstRun::Full),
        ("busy", FirstRun::Busy),
        ("slow", FirstRun::Slow),
        ("failing", FirstRun::Failing),
        ("stalled", FirstRun::Stalled),
        ("outbid", FirstRun::LowerScore),
    ];
    for (label, reason) in labels {
        let second = late_line("s-1", &format!(r#","passed_over":"{label}""#));
        let found = causes(&[late_line("s-0", ""), second]);
        assert!(
            found.contains(&(Cause::FirstRun(reason), 1)),
            "{label}: {found:?}"
        );
    }
}

/// The first server of an object has changed: the previous one has left or restarted, its zone was evacuated, or the
/// order of servers has changed.
#[test]
fn an_object_whose_first_server_changed() {
    let server = |change: &str| {
        format!(
            r#"{{"msg":"backend server","ts":"2026-01-01T00:00:05Z","backend_server":"s-0","change":"{change}"}}"#
        )
    };
    let evacuated = r#"{"msg":"evacuations","ts":"2026-01-01T00:00:05Z","zones":"east-a"}"#;
    let cases = [
        (server("draining"), FirstRun::Left),
        (server("gone"), FirstRun::Left),
        (server("restarted"), FirstRun::Restarted),
        (evacuated.to_owned(), FirstRun::Evacuated),
        (server("joined"), FirstRun::Moved),
    ];
    for (between, reason) in cases {
        let found = causes(&[late_line("s-0", ""), between.clone(), late_line("s-1", "")]);
        assert!(
            found.contains(&(Cause::FirstRun(reason), 1)),
            "{between}: {found:?}"
        );
    }
}

/// A log is truncated within a line, and another file is not a log. The readable lines must count, and each unreadable
/// line must be listed with its file and number.
#[test]
fn lines_that_cannot_be_read() {
    let log = format!("{START}\nnot a line\n{}\n{{\"msg\":", late_line("s-0", ""));
    let table = Table::of([("a.log", log.as_str()), ("b.txt", "hello\n")]);
    assert_eq!(table.total(), 1);
    let unreadable_lines: Vec<String> = table
        .unreadable_lines()
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(unreadable_lines.len(), 3);
    assert!(
        unreadable_lines[0].starts_with("a.log:2:"),
        "{unreadable_lines:?}"
    );
    assert!(
        unreadable_lines[2].starts_with("b.txt:1:"),
        "{unreadable_lines:?}"
    );
}

/// An instance under load omits lines. The table must report its coverage, otherwise it shows too few losses.
#[test]
fn lines_that_were_left_out() {
    let lines = [
        late_line("s-0", ""),
        late_line("s-0", r#","lines_left_out":2"#),
    ]
    .join("\n");
    let table = Table::of([("a.log", lines.as_str())]);
    assert!(
        (table.coverage() - 0.5).abs() < 0.01,
        "{}",
        table.coverage()
    );
    assert!(table.to_string().contains("2 left out"), "{table}");
}

/// A request fails twice and is then rejected. It must count as one loss, with its last reason.
#[test]
fn a_request_counts_once() {
    let failed = r#"{"msg":"exchange ended","request_id":"r1","outcome":"failed","route":"look"}"#;
    let refused =
        r#"{"msg":"request not served","request_id":"r1","reason":"overloaded","route":"look"}"#;
    let text = [failed, failed, refused].join("\n");
    let table = Table::of([("a.log", text.as_str())]);
    assert_eq!(table.total(), 1);
    assert_eq!(
        table.count(Cause::NotServed(NotServedReason::Overloaded)),
        1
    );
}

/// The losses are drawn to an SVG file. The error for a missing directory must contain the remedy.
#[test]
fn a_plot_of_losses() {
    let text = [late_line("s-0", ""), late_line("s-1", "")].join("\n");
    let table = Table::of([("a.log", text.as_str())]);
    let file = std::env::temp_dir().join(format!("damaskvane-losses-{}.svg", std::process::id()));
    losses::draw(&file, &table).expect("a plot");
    let drawn = std::fs::read_to_string(&file).expect("a file");
    std::fs::remove_file(&file).expect("a file");
    assert!(drawn.contains("<rect"), "bars are drawn");
    let error = losses::draw("no/such/directory/a.svg", &table);
    let error = error.expect_err("no directory").to_string();
    assert!(
        error.contains("give a path in a writable directory"),
        "{error}"
    );
}
