//! Tests of the age of an instance's data from the store, and of the end of watches when the store does not respond.
//!
//! A watch is a call to the store that waits for changes; a relay is an instance that forwards changes to others.

use std::time::Duration;

use damaskvane_core::time::{SpanMs, TimeMs};
use damaskvane_gateway::store::StoreHealth;
use damaskvane_routing::peers::IncarnationKey;

fn key() -> IncarnationKey {
    IncarnationKey::from_wire(1)
}

/// An instance starts while the store is unavailable and receives all data from other instances. If the age of its data
/// counted from the start of the process, the instance would appear to be a fresh source, and the instances that
/// receive changes from it would not search for a better source.
#[test]
fn the_age_is_unlimited_before_the_first_response() {
    let health = StoreHealth::default();
    assert_eq!(health.age(TimeMs::new(1_000)), SpanMs::new(u64::MAX));
    health.record_answer(TimeMs::new(2_000), key());
    assert_eq!(health.age(TimeMs::new(2_500)), SpanMs::new(500));
}

/// A watch begins while a relay reports that the store is available, but the store does not respond to this instance.
/// The watch would hang for its whole waiting time, so the next call to the store that gets no response has to end the
/// watch.
#[test]
fn a_call_without_a_response_ends_watches_although_a_relay_reports_the_store_available() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let health = StoreHealth::default();
        health.record_answer(TimeMs::new(1_000), key());
        let watching = health.until_failed_call();
        let calling = async {
            tokio::task::yield_now().await;
            health.record_answer(TimeMs::new(1_200), key());
            health.record_failed_call();
        };
        let both = async { tokio::join!(watching, calling) };
        let ended = tokio::time::timeout(Duration::from_secs(30), both).await;
        assert!(ended.is_ok(), "the watch has not ended");
    });
}
