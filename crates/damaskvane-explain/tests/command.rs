//! Tests of the command line, run as a process.

use std::path::PathBuf;
use std::process::{Command, Output};

fn explain(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_damaskvane-explain"))
        .args(arguments)
        .output()
        .expect("the command runs")
}

/// Writes a log to a new temporary file, which the caller removes.
fn write_log(name: &str, text: &str) -> PathBuf {
    let name = format!("damaskvane-explain-{}-{name}.log", std::process::id());
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, text).expect("a log");
    file
}

/// One line of a log is truncated. The table must still be printed as JSON, and standard error must name the line.
#[test]
fn losses_as_json_with_a_line_that_cannot_be_read() {
    let refused = r#"{"msg":"request not served","route":"look","reason":"overloaded"}"#;
    let file = write_log("cut", &format!("{refused}\n{{\"msg\":"));
    let path = file.display().to_string();
    let output = explain(&["losses", "--json", &path]);
    std::fs::remove_file(&file).expect("a file");
    assert!(output.status.success());
    let json = String::from_utf8(output.stdout).expect("text");
    let rows: Vec<serde_json::Value> = json
        .lines()
        .map(|line| serde_json::from_str(line).expect("an object a line"))
        .collect();
    assert_eq!(rows.len(), 2, "{json}");
    assert_eq!(rows[0]["cause"], "not served: overloaded");
    assert_eq!(rows[0]["requests"], 1);
    assert_eq!(rows[1]["lines_not_read"], 1);
    let errors = String::from_utf8(output.stderr).expect("text");
    assert!(errors.contains(&format!("{path}:2:")), "{errors}");
}

/// A file name or an option is misspelled, an argument is missing, or arguments exclude each other. Each error must
/// contain the remedy.
#[test]
fn errors_on_the_command_line_contain_the_remedy() {
    let cases: [(&[&str], i32, &str); 5] = [
        (&["losses", "no-such-file.log"], 1, "check the path"),
        (&["losses"], 2, "give one or more FILE arguments"),
        (&["a.log"], 2, "give --request ID, losses or costs"),
        (
            &["losses", "--request", "r1", "a.log"],
            2,
            "--request excludes losses, costs",
        ),
        (
            &["losses", "--jsn", "a.log"],
            2,
            "unknown option '--jsn'; see --help",
        ),
    ];
    for (arguments, code, expected) in cases {
        let output = explain(arguments);
        let errors = String::from_utf8(output.stderr).expect("text");
        assert_eq!(output.status.code(), Some(code), "{arguments:?}: {errors}");
        assert!(errors.contains(expected), "{arguments:?}: {errors}");
    }
}
