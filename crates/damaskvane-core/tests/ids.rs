//! Parsing of identifiers and hashes.

use damaskvane_core::{hash, ids};
use proptest::prelude::*;

#[test]
fn text_ids_accept_only_allowed_lengths_and_characters() {
    let cases = [
        ("rider-desk", true),
        ("a", true),
        ("", false),
        ("Rider", false),
        ("a b", false),
        ("a/b", false),
        ("é", false),
    ];
    for (text, accepted) in cases {
        assert_eq!(text.parse::<ids::ServiceId>().is_ok(), accepted, "{text:?}");
    }
    assert!("x".repeat(64).parse::<ids::InstanceId>().is_ok());
    assert!("x".repeat(65).parse::<ids::InstanceId>().is_err());
}

proptest! {
    #[test]
    fn parsing_any_text_never_panics(text in ".{0,100}") {
        let _ = text.parse::<ids::RequestId>();
        let _ = text.parse::<ids::TicketNumber>();
        let _ = text.parse::<hash::ContentHash>();
    }

    #[test]
    fn hashes_round_trip_through_text(content in proptest::collection::vec(any::<u8>(), 0..64)) {
        let hash = hash::ContentHash::of(&content);
        prop_assert_eq!(hash.to_string().parse(), Ok(hash));
    }
}
