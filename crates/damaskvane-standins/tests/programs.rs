//! Tests of both programs' command lines: help, version, wrong usage, addresses in use and SIGTERM.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Command, Stdio};

const PLATFORM: &str = env!("CARGO_BIN_EXE_damaskvane-standin-platform");
const BACKEND: &str = env!("CARGO_BIN_EXE_damaskvane-standin-backend");

fn run(program: &str, arguments: &[&str]) -> (Option<i32>, String, String) {
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

fn file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("written");
    path.display().to_string()
}

#[test]
fn help_and_version_exit_with_0() {
    for (program, name) in [
        (PLATFORM, "damaskvane-standin-platform"),
        (BACKEND, "damaskvane-standin-backend"),
    ] {
        for option in ["--help", "-h", "--version", "-V"] {
            let (code, out, err) = run(program, &[option]);
            assert_eq!(code, Some(0), "{name} {option}: {err}");
            assert!(out.contains(name), "{name} {option}: {out}");
        }
    }
}

#[test]
fn wrong_usage_exits_with_2_and_names_the_nearest_flag_or_key() {
    let servers = file("servers.toml", "[[server]]\nname = \"a\"\nslot = 1\n");
    let tokens = file("some-tokens", "secret anna\n");
    let cases: [(&str, &[&str], &str); 9] = [
        (PLATFORM, &["--tokns", "x"], "did you mean '--tokens'"),
        (
            PLATFORM,
            &["--tokens", &tokens, "--lisen", "x"],
            "did you mean '--listen'",
        ),
        (
            PLATFORM,
            &["--tokens", &tokens, "--instances-lag-ms", "soon"],
            "soon",
        ),
        (PLATFORM, &[], "--tokens"),
        (PLATFORM, &["stray"], "stray"),
        (BACKEND, &["--sever", "a:1"], "did you mean '--server'"),
        (BACKEND, &["--servers", &servers], "slot"),
        (BACKEND, &["--server", "a:1", "--seed", "many"], "many"),
        (BACKEND, &[], "--server NAME:SLOTS"),
    ];
    for (program, arguments, expected) in cases {
        let (code, out, err) = run(program, arguments);
        assert_eq!(
            (code, out.as_str()),
            (Some(2), ""),
            "{program} {arguments:?}: {err}"
        );
        assert!(err.contains(expected), "{program} {arguments:?}: {err}");
    }
}

/// Another process listens on the address: the program exits at once and names the address.
#[test]
fn an_address_in_use_exits_with_1_and_is_named() {
    let holder = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let taken = holder.local_addr().expect("bound").to_string();
    let tokens = file("tokens-for-taken", "secret anna\n");
    let cases: [(&str, &[&str]); 3] = [
        (PLATFORM, &["--tokens", &tokens, "--listen", &taken]),
        (PLATFORM, &["--tokens", &tokens, "--admin", &taken]),
        (BACKEND, &["--server", "a:1", "--admin", &taken]),
    ];
    for (program, arguments) in cases {
        let (code, _, err) = run(program, arguments);
        assert_eq!(code, Some(1), "{program} {arguments:?}: {err}");
        assert!(err.contains(&taken), "{program} {arguments:?}: {err}");
    }
}

#[test]
fn the_backend_program_exits_with_0_on_sigterm() {
    let mut child = Command::new(BACKEND)
        .args(["--server", "a:1"])
        .stdout(Stdio::piped())
        .spawn()
        .expect("runs");
    let mut line = String::new();
    let stdout = child.stdout.take().expect("piped");
    BufReader::new(stdout).read_line(&mut line).expect("a line");
    let ready: serde_json::Value = serde_json::from_str(&line).expect("JSON");
    assert!(ready["servers"]["a"].is_string(), "{line}");
    let killed = Command::new("kill").arg(child.id().to_string()).status();
    assert!(killed.expect("runs").success());
    assert_eq!(child.wait().expect("ends").code(), Some(0));
}
