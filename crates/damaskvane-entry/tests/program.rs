//! The program's command line, settings, startup errors and exit codes.

mod common;

use std::net::TcpListener;

use common::Entry;

const PROGRAM: &str = "damaskvane-entry";

/// Runs the program until it exits; returns its exit code, standard output and standard error.
fn run(arguments: &[&str]) -> (Option<i32>, String, String) {
    let output = common::program(arguments);
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (
        output.status.code(),
        text(&output.stdout),
        text(&output.stderr),
    )
}

#[test]
fn help_version_and_check_exit_with_0() {
    let settings = common::settings_file("valid", "").display().to_string();
    let cases: [(&[&str], &str); 3] = [
        (&["--help"], "exit codes"),
        (&["--version"], PROGRAM),
        (&["--settings", &settings, "--check"], "settings are valid"),
    ];
    for (arguments, expected) in cases {
        let (code, out, err) = run(arguments);
        assert_eq!(code, Some(0), "{arguments:?}: {err}");
        assert!(out.contains(expected), "{arguments:?}: {out}");
    }
}

#[test]
fn a_wrong_command_line_exits_with_2_and_names_the_nearest_flag() {
    let cases: [(&[&str], &str); 5] = [
        (&["--setings", "x"], "did you mean '--settings'"),
        (&["--settings", "x", "--chek"], "did you mean '--check'"),
        (&["--settings"], "--help"),
        (&["stray"], "stray"),
        (&[], "missing option '--settings'"),
    ];
    for (arguments, expected) in cases {
        let (code, _, err) = run(arguments);
        assert_eq!(code, Some(2), "{arguments:?}: {err}");
        assert!(err.contains(expected), "{arguments:?}: {err}");
    }
}

/// An operator mistypes a setting. Both `--check` and a normal start have to reject the setting and name the
/// file, the key, the value and a remedy; settings that pass `--check` must not fail at the start.
#[test]
fn wrong_settings_exit_with_2_naming_file_key_value_and_remedy() {
    let cases: [(&str, &[&str]); 13] = [
        (
            "platform_address = \"nowhere\"",
            &["platform_address", "nowhere", "host and port"],
        ),
        ("token_file = \"\"", &["token_file", "credential"]),
        (
            "head_timout_ms = 5",
            &["head_timout_ms", "did you mean 'head_timeout_ms'"],
        ),
        (
            "head_timeout_ms = 5",
            &["head_timeout_ms", "= 5", "100 to 60000"],
        ),
        (
            "connection_limit = \"many\"",
            &["connection_limit", "many", "1 to 65536"],
        ),
        ("log_level = \"loud\"", &["log_level", "loud", "debug"]),
        ("instance = \"a b\"", &["instance", "a b"]),
        (
            "client_address = \"nowhere\"",
            &["client_address", "nowhere", "127.0.0.1:7001"],
        ),
        (
            "operator_address = \"1.2.3.4\"",
            &["operator_address", "1.2.3.4", "127.0.0.1:7001"],
        ),
        (
            "peer_address = \"::\"",
            &["peer_address", "::", "127.0.0.1:7001"],
        ),
        (
            "statsd_address = \"statsd\"",
            &["statsd_address", "statsd", "127.0.0.1:7001"],
        ),
        (
            "seed_peers = \"a-1\"",
            &["seed_peers", "a-1", "instance@address"],
        ),
        (
            "token_file = \"/nowhere/token\"",
            &["token_file", "/nowhere/token", "credential"],
        ),
    ];
    for (line, words) in cases {
        let path = common::settings_file("wrong", "");
        let key = line.split(' ').next().expect("a key");
        let text = std::fs::read_to_string(&path).expect("readable");
        let kept: Vec<&str> = text
            .lines()
            .filter(|other| !other.starts_with(&format!("{key} =")))
            .collect();
        std::fs::write(&path, format!("{}\n{line}\n", kept.join("\n"))).expect("written");
        let path = path.display().to_string();
        let invocations: [&[&str]; 2] = [&["--settings", &path, "--check"], &["--settings", &path]];
        for arguments in invocations {
            let (code, out, err) = run(arguments);
            assert_eq!((code, out.as_str()), (Some(2), ""), "{line}: {err}");
            assert!(err.contains(&path), "{line}: {err}");
            for word in words {
                assert!(err.contains(word), "{line}: {err:?} lacks {word:?}");
            }
        }
    }
    let (code, _, err) = run(&["--settings", "/nowhere/entry.toml"]);
    assert_eq!(code, Some(2), "{err}");
    assert!(err.contains("/nowhere/entry.toml"), "{err}");
}

/// Another process listens at a configured address, which `--check` can't detect. The program exits at once and
/// names the key to change, for each of the three addresses.
#[test]
fn an_address_in_use_exits_with_1_naming_file_key_value_and_remedy() {
    let holder = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let used_address = holder.local_addr().expect("bound").to_string();
    for key in ["client_address", "operator_address", "peer_address"] {
        let path = common::settings_file("taken", &format!("{key} = \"{used_address}\"\n"));
        let path = path.display().to_string();
        let (code, out, err) = run(&["--settings", &path]);
        assert_eq!((code, out.as_str()), (Some(1), ""), "{key}: {err}");
        for word in [
            path.as_str(),
            key,
            used_address.as_str(),
            "choose a free address",
        ] {
            assert!(err.contains(word), "{key}: {err:?} lacks {word:?}");
        }
    }
}

#[test]
fn sigterm_is_a_graceful_stop_that_exits_with_0() {
    let mut entry = Entry::start("sigterm", "stop_timeout_ms = 1000\n");
    assert_eq!(entry.stop().code(), Some(0));
}
