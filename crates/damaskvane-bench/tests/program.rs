//! The program's command line: help, version, and mistakes that name the nearest valid word.

use std::process::Command;

fn run(arguments: &[&str]) -> (Option<i32>, String, String) {
    let program = env!("CARGO_BIN_EXE_damaskvane-bench");
    let output = Command::new(program)
        .args(arguments)
        .output()
        .expect("runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (
        output.status.code(),
        text(&output.stdout),
        text(&output.stderr),
    )
}

#[test]
fn help_and_version_exit_with_0_also_after_each_sub_command() {
    for option in ["--help", "-h", "--version", "-V"] {
        let (code, out, err) = run(&[option]);
        assert_eq!(code, Some(0), "{option}: {err}");
        assert!(out.contains("damaskvane-bench"), "{option}: {out}");
    }
    for command in damaskvane_bench::commands::ALL {
        let (code, out, err) = run(&[command.name, "--help"]);
        assert_eq!(code, Some(0), "{}: {err}", command.name);
        assert!(out.contains(command.name), "{}: {out}", command.name);
    }
}

#[test]
fn wrong_usage_exits_with_2_and_names_the_nearest_word() {
    let cases: [(&[&str], &str); 6] = [
        (&["lod"], "did you mean 'load'"),
        (&["--hlep"], "did you mean '--help'"),
        (&["load", "--sed", "7"], "did you mean '--seed'"),
        (&["load", "--seed", "many"], "\"many\" is no valid value"),
        (&["load", "--seed"], "--help"),
        (&["load", "stray"], "stray"),
    ];
    for (arguments, expected) in cases {
        let (code, _, err) = run(arguments);
        assert_eq!(code, Some(2), "{arguments:?}: {err}");
        assert!(err.contains(expected), "{arguments:?}: {err}");
    }
}
