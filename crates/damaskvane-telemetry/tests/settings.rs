//! Validation of settings files.

use damaskvane_telemetry::settings::{self, Settings};
use serde::Deserialize;

#[derive(Debug, Deserialize)]
struct Sample {
    #[serde(default)]
    ttl_ms: u64,
    name: String,
}

impl Settings for Sample {
    const KEYS: &'static [settings::Key] = &[
        settings::Key::number("ttl_ms", "0", 0, 1_000, "lifetime"),
        settings::Key::required("name", "name of the sample"),
    ];
}

/// An operator mistypes a key or a value. The program must not start with a default that the operator didn't choose;
/// the error must name the file, the key, the value and the remedy in one line.
#[test]
fn mistakes_name_file_key_value_and_remedy() {
    let cases = [
        (
            "name = \"a\"\nttl_sm = 5",
            vec!["s.toml", "ttl_sm", "did you mean 'ttl_ms'"],
        ),
        (
            "name = \"a\"\nttl_ms = 5000",
            vec!["s.toml", "ttl_ms", "5000", "0 to 1000"],
        ),
        (
            "name = \"a\"\nttl_ms = \"5\"",
            vec!["ttl_ms", "whole number"],
        ),
        ("ttl_ms = 5", vec!["s.toml", "missing key 'name'", "add it"]),
        ("name = ", vec!["s.toml", "line 1"]),
        ("name = 5", vec!["s.toml", "docs/SETTINGS.md"]),
    ];
    for (text, fragments) in cases {
        let error = settings::parse::<Sample>("s.toml", text)
            .expect_err(text)
            .to_string();
        for fragment in fragments {
            assert!(error.contains(fragment), "{error:?} lacks {fragment:?}");
        }
    }
}

#[test]
fn a_valid_file_is_parsed_unchanged() {
    let sample: Sample = settings::parse("s.toml", "name = \"a\"\nttl_ms = 7").expect("valid");
    assert_eq!((sample.name.as_str(), sample.ttl_ms), ("a", 7));
}
