//! Parses arbitrary bytes as backend servers' responses: parsing must end, without a panic.

use bytes::BytesMut;
use damaskvane_gateway::http::{BodyKind, BodyReader, Piece, ResponseHead};
use proptest::prelude::*;

fn kinds() -> impl Strategy<Value = BodyKind> {
    prop_oneof![
        (0_u64..64).prop_map(BodyKind::Length),
        Just(BodyKind::Chunked),
        Just(BodyKind::UntilClose),
    ]
}

/// Concatenates parts of valid responses and random bytes, so that many inputs resemble a response.
fn responses() -> impl Strategy<Value = Vec<u8>> {
    let part = prop_oneof![
        Just(b"HTTP/1.1 200 OK\r\n".to_vec()),
        Just(b"Content-Length: 3\r\n".to_vec()),
        Just(b"Transfer-Encoding: chunked\r\n".to_vec()),
        Just(b"\r\n".to_vec()),
        Just(b"3\r\nabc\r\n".to_vec()),
        Just(b"0\r\n\r\n".to_vec()),
        Just(b"ffffffffffffffff\r\n".to_vec()),
        prop::collection::vec(any::<u8>(), 0..20),
    ];
    prop::collection::vec(part, 0..12).prop_map(|parts| parts.concat())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn parsed_heads_consume_bytes(bytes in responses()) {
        let mut buffer = BytesMut::from(&bytes[..]);
        let before = buffer.len();
        if let Ok(Some(_)) = ResponseHead::take(&mut buffer) {
            prop_assert!(buffer.len() < before);
        }
    }

    #[test]
    fn bodies_end_and_yield_no_more_than_was_received(kind in kinds(), bytes in responses()) {
        let mut buffer = BytesMut::from(&bytes[..]);
        let mut body = BodyReader::new(kind);
        let mut taken = 0;
        for _ in 0..=bytes.len() {
            match body.take(&mut buffer) {
                Ok(Piece::Data(data)) => taken += data.len(),
                Ok(Piece::End | Piece::NeedsMore) | Err(_) => break,
            }
        }
        prop_assert!(taken <= bytes.len());
        if let BodyKind::Length(length) = kind {
            prop_assert!(taken as u64 <= length);
        }
    }
}
