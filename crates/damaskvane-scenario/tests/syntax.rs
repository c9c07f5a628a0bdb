//! Errors of scenario files: syntax errors name file, line, column and remedy, failures the value found.

use damaskvane_scenario::{play, script};

fn parse_error(text: &str) -> String {
    match script::Script::read("a.scn", text) {
        Ok(script) => format!("no syntax error in {script:?}"),
        Err(error) => error.to_string(),
    }
}

/// Guards against syntax errors without a position and a remedy, which would force authors of scenarios to
/// read the parser.
#[test]
fn a_syntax_error_names_its_position_and_the_remedy() {
    let cases = [
        (
            "# fine\nadvanec 2s",
            "a.scn:2:1: 'advanec' begins no statement; begin with seed, network",
        ),
        (
            "  advance",
            "a.scn:1:10: the line ends too early; write: advance SPAN",
        ),
        (
            "advance 2h",
            "a.scn:1:9: '2h' is no span of time; write 200ms, 2s or 1m",
        ),
        (
            "advance 2s 3s",
            "a.scn:1:12: '3s' is too much; write: advance SPAN",
        ),
        (
            "stop e1 \u{e9}",
            "a.scn:1:9: this character belongs to no statement; write names of",
        ),
        (
            "entry e1",
            "a.scn:1:9: the option zone= is missing; write: entry NAME zone=ZONE",
        ),
        (
            "entry E1 zone=a",
            "a.scn:1:7: 'E1' does not fit here; write: entry NAME",
        ),
        (
            "get g via=e1 service=s prio=high",
            "a.scn:1:24: the option prio= is not known here; write: get LABEL",
        ),
        (
            "get g via=e1 service=s priority=urgent",
            "a.scn:1:24: 'urgent' does not fit here; write: get LABEL",
        ),
        (
            "post p via=e1 service=s home=e1",
            "a.scn:1:32: the option key= is missing",
        ),
        (
            "fault server r1 sleepy",
            "a.scn:1:17: there is no mode 'sleepy'; write one of ok, shed",
        ),
        (
            "fault flood e1",
            "a.scn:1:7: there is no fault 'flood'; write: fault server",
        ),
        (
            "expect answer p1 maybe",
            "a.scn:1:18: 'maybe' is no answer; write completed",
        ),
        (
            "expect answer p1 not-run tired",
            "a.scn:1:26: there is no refusal reason 'tired'; write a word of docs/COUNTERS.md",
        ),
        (
            "expect runs k1 1",
            "a.scn:1:16: a comparison is missing; write a comparison",
        ),
        (
            "expect runs k1 <= many",
            "a.scn:1:19: 'many' is no number; write a comparison",
        ),
        (
            "expect luck",
            "a.scn:1:8: 'luck' can't be expected; write: expect answer",
        ),
    ];
    for (text, expected) in cases {
        let found = parse_error(text);
        assert!(
            found.starts_with(expected),
            "{text:?}\n  {found}\n  {expected}"
        );
    }
}

/// Comments, blank lines and trailing blanks are not statements, and the other lines keep their numbers.
#[test]
fn comments_and_blank_lines_are_skipped() {
    let text = "# told first\n\n  advance 1m   # a minute\n";
    let script = script::Script::read("a.scn", text).expect("a valid script");
    assert_eq!(script.lines.len(), 1);
    assert_eq!(script.lines[0].number, 3);
}

/// Guards against expectations that always pass: each of these must fail and name the line and the value
/// found.
#[test]
fn a_failed_expectation_reports_what_was_found() {
    let set_up = "service s time=50ms\nserver r1 zone=a service=s slots=1\nentry e1 zone=a\n";
    let cases = [
        (
            "get g via=e1 service=s\nexpect answer g completed",
            "found none",
        ),
        (
            "get g via=e1 service=s\nadvance 1s\nexpect answer g none",
            "found completed",
        ),
        (
            "get g via=e1 service=t\nadvance 1s\nexpect answer g completed",
            "service_unknown",
        ),
        ("expect runs k = 1", "found 0"),
        ("expect stopped e1", "found it Running"),
        ("expect quarantined /crash", "no instance refuses it"),
        (
            "get g via=e1 service=s times=3\nadvance 1s\nexpect answers g completed = 2",
            "found 3",
        ),
        ("expect peak r9 = 0", "there is no backend server r9"),
    ];
    for (body, expected) in cases {
        let text = format!("{set_up}{body}\n");
        let script = script::Script::read("a.scn", &text).expect("a valid script");
        let failure = play::play(&script).expect_err("an unfulfilled expectation");
        assert!(failure.found.contains(expected), "{body:?}: {failure}");
        assert!(failure.to_string().starts_with("a.scn:"), "{failure}");
    }
}
