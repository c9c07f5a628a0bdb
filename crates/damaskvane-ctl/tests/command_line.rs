//! Command line, exit codes and JSON output of the program.

use std::path::PathBuf;
use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_damaskvane-ctl");
    Command::new(program).args(args).output().expect("runs")
}

fn file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("written");
    path.display().to_string()
}

#[test]
fn an_invalid_command_line_names_the_nearest_word_and_exits_with_2() {
    let cases: [(&[&str], &str); 6] = [
        (
            &["sumbit"],
            "unknown command 'sumbit'; did you mean 'submit'?",
        ),
        (
            &["history", "--limt", "3"],
            "unknown option '--limt'; did you mean '--limit'?",
        ),
        (
            &["history", "--limit", "many"],
            "invalid value \"many\" for option '--limit'",
        ),
        (&["history"], "missing option '--platform'"),
        (&["check"], "missing declaration file"),
        (&[], "missing command"),
    ];
    for (args, expected) in cases {
        let output = run(args);
        let text = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{args:?}: {text}");
        assert!(text.contains(expected), "{args:?}: {text}");
    }
}

#[test]
fn help_and_version_exit_with_0() {
    for (option, expected) in [
        ("--help", "Exit codes"),
        ("-h", "Exit codes"),
        ("--version", "damaskvane-ctl "),
        ("-V", "damaskvane-ctl "),
    ] {
        let output = run(&[option]);
        assert_eq!(output.status.code(), Some(0));
        assert!(String::from_utf8_lossy(&output.stdout).contains(expected));
    }
}

#[test]
fn check_exits_with_3_and_lists_each_problem_as_text_and_as_json() {
    let path = file("invalid.toml", "[availability_zone.a]\nregion = \"x\"\n");
    let output = run(&["check", &path]);
    assert_eq!(output.status.code(), Some(3));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(
        text.contains("invalid.toml:2:1: availability_zone/a: region:"),
        "{text}"
    );
    let output = run(&["check", &path, "--json"]);
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(json["exit_code"], 3);
    assert_eq!(json["details"][0]["place"]["line"], 2);
}

#[test]
fn check_of_valid_files_exits_with_0_and_a_missing_file_with_1() {
    let zone = file("zone.toml", "[availability_zone.a]\nregion = \"x\"\n");
    let region = file("region.toml", "[region.x]\n");
    assert_eq!(run(&["check", &zone, &region]).status.code(), Some(0));
    assert_eq!(run(&["check", "no/such/file"]).status.code(), Some(1));
}
