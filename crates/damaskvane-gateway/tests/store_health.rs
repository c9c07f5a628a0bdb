//! How fresh an instance takes its knowledge of the store to be.

use std::time::Duration;

use damaskvane_core::time::{SpanMs, TimeMs};
use damaskvane_gateway::store::StoreHealth;
use damaskvane_routing::peers::IncarnationKey;

fn key() -> IncarnationKey {
    IncarnationKey::from_wire(1)
}

/// An instance starts while the store is away and gets everything from others. Taken to have heard from the store
/// at its start, it would pass for a fresh source, and its listeners would stop looking for a better one.
#[test]
fn a_store_that_never_answered_has_no_fresh_age() {
    let health = StoreHealth::default();
    assert_eq!(health.age(TimeMs::new(1_000)), SpanMs::new(u64::MAX));
    health.record_answer(TimeMs::new(2_000), key());
    assert_eq!(health.age(TimeMs::new(2_500)), SpanMs::new(500));
}

/// A watch begins while a relay says that the store is there, and the store is silent for this instance. The
/// watch would hang for its whole waiting time; the next question that stays open ends it.
#[test]
fn a_question_left_open_ends_watches_although_a_relay_says_that_all_is_well() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let health = StoreHealth::default();
        health.record_answer(TimeMs::new(1_000), key());
        let watching = health.until_failed_call();
        let asking = async {
            tokio::task::yield_now().await;
            health.record_answer(TimeMs::new(1_200), key());
            health.record_failed_call();
        };
        let both = async { tokio::join!(watching, asking) };
        let ended = tokio::time::timeout(Duration::from_secs(30), both).await;
        assert!(ended.is_ok(), "the watch goes on");
    });
}
