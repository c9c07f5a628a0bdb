//! Tests of the program `damaskvane-standin-platform`.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

fn start(tokens: &str) -> (Child, serde_json::Value) {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("tokens");
    std::fs::write(&path, tokens).expect("written");
    let mut child = Command::new(env!("CARGO_BIN_EXE_damaskvane-standin-platform"))
        .arg("--tokens")
        .arg(&path)
        .stdout(Stdio::piped())
        .spawn()
        .expect("runs");
    let mut line = String::new();
    let stdout = child.stdout.take().expect("piped");
    BufReader::new(stdout).read_line(&mut line).expect("a line");
    (child, serde_json::from_str(&line).expect("JSON"))
}

#[test]
fn the_program_prints_addresses_switches_faults_and_exits_with_0_on_sigterm() {
    let (mut child, addresses) = start("secret anna\n");
    let at = |which: &str, path: &str| {
        format!(
            "http://{}{path}",
            addresses[which].as_str().expect("an address")
        )
    };
    let head = || {
        let request = attohttpc::get(at("listening", "/v1/objects/head/config"));
        let response = request.bearer_auth("secret").send().expect("answers");
        (
            response.status().as_u16(),
            response.headers().get("token-holder").cloned(),
        )
    };
    let (status, holder) = head();
    assert_eq!(status, 404);
    assert_eq!(holder.expect("a holder"), "anna");
    let set = |faults: &str| {
        let request = attohttpc::post(at("admin", "/faults")).text(faults);
        request.send().expect("answers").status().as_u16()
    };
    assert_eq!(set("{\"down\":true}"), 200);
    assert_eq!(head().0, 503);
    assert_eq!(set("{\"dwn\":true}"), 400);
    assert_eq!(set("{}"), 200);
    assert_eq!(head().0, 404);
    let stats = attohttpc::get(at("admin", "/stats"))
        .send()
        .expect("answers");
    let stats: serde_json::Value =
        serde_json::from_str(&stats.text().expect("text")).expect("JSON");
    assert_eq!(stats["calls"]["get"], 2);
    assert_eq!(stats["refused"]["503"], 1);
    let killed = Command::new("kill")
        .arg(child.id().to_string())
        .status()
        .expect("runs");
    assert!(killed.success());
    assert_eq!(child.wait().expect("ends").code(), Some(0));
}

#[test]
fn wrong_usage_exits_with_2_and_a_broken_token_file_with_1() {
    let run = |args: &[&str]| {
        let program = env!("CARGO_BIN_EXE_damaskvane-standin-platform");
        let output = Command::new(program).args(args).output().expect("runs");
        (
            output.status.code(),
            String::from_utf8_lossy(&output.stderr).into_owned(),
        )
    };
    assert_eq!(run(&["--tokns", "x"]).0, Some(2));
    assert_eq!(run(&[]).0, Some(2));
    assert_eq!(run(&["--help"]).0, Some(0));
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("broken-tokens");
    std::fs::write(&path, "secret anna\nsecret-of-nobody\n").expect("written");
    let (code, text) = run(&["--tokens", path.to_str().expect("text")]);
    assert_eq!(code, Some(1));
    assert!(
        text.contains("line 2") && !text.contains("secret-of-nobody"),
        "{text}"
    );
}
