//! Settings files with mistakes in them.

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
        settings::Key::number("ttl_ms", "0", 0, 1_000, "how long"),
        settings::Key::required("name", "who"),
    ];
}

/// An operator mistypes a key or a value. Starting anyway would run with a default that nobody chose;
/// what is seen instead is one line that names file, key, value and remedy.
#[test]
fn mistakes_name_file_key_value_and_remedy() {
    let cases = [
        (
            "name = \"a\"\nttl_sm = 5",
            vec!["s.toml", "ttl_sm", "did you mean \"ttl_ms\""],
        ),
        (
            "name = \"a\"\nttl_ms = 5000",
            vec!["s.toml", "ttl_ms", "5000", "0 to 1000"],
        ),
        (
            "name = \"a\"\nttl_ms = \"5\"",
            vec!["ttl_ms", "whole number"],
        ),
        (
            "ttl_ms = 5",
            vec!["s.toml", "missing key \"name\"", "add it"],
        ),
        ("name = ", vec!["s.toml", "line 1"]),
        ("name = 5", vec!["s.toml", "docs/SETTINGS.md"]),
    ];
    for (text, words) in cases {
        let error = settings::parse::<Sample>("s.toml", text)
            .expect_err(text)
            .to_string();
        for word in words {
            assert!(error.contains(word), "{error:?} lacks {word:?}");
        }
    }
}

#[test]
fn a_complete_file_is_taken_as_it_is() {
    let sample: Sample = settings::parse("s.toml", "name = \"a\"\nttl_ms = 7").expect("valid");
    assert_eq!((sample.name.as_str(), sample.ttl_ms), ("a", 7));
}
