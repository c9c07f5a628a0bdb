//! The size of a heartbeat in the self-describing encoding, compared with the size in a compact encoding.

mod common;

use common::{id, new_heartbeat};
use damaskvane_core::ids;
use damaskvane_peer::envelope;

/// Guards against a new field that doubles the size of a heartbeat: the budget of control traffic is computed
/// from this size.
#[test]
fn a_heartbeat_is_small() {
    let mut heartbeat = new_heartbeat(100_000);
    heartbeat.echo = Some(100_000);
    let header = envelope::Header::new(id("sask-a-1"), ids::Incarnation::new(1_000));
    let cbor = envelope::encode(&header, &heartbeat).unwrap().len();
    let compact = postcard::to_allocvec(&(&header, &heartbeat)).unwrap().len();
    println!("heartbeat: CBOR {cbor} bytes, postcard {compact} bytes");
    assert!(cbor <= 80, "{cbor}");
}
