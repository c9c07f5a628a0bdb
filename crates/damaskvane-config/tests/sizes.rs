//! The size of an encoded head, which limits the number of declared objects.

use damaskvane_config::manifest::{Head, ObjectEntry};
use damaskvane_core::hash::ContentHash;
use damaskvane_core::ids::TicketNumber;

#[test]
fn a_head_of_a_thousand_backend_servers_stays_far_below_the_size_limit() {
    let mut head = Head::default();
    for number in 0..1_000 {
        let name = format!("backend_server/rider-desk-sask-a-{number}");
        let entry = ObjectEntry {
            hash: ContentHash::of(name.as_bytes()),
            ticket: TicketNumber::new(100_000),
        };
        head.objects
            .insert(name.parse().expect("valid object id"), entry);
    }
    let bytes = head.encode().len();
    assert!((100_000..150_000).contains(&bytes), "{bytes} bytes");
    println!("{bytes} bytes");
}
