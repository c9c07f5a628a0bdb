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

/// Returns whether a watch that begins now ends while `events` happen.
fn ends_watch(health: &StoreHealth, events: impl FnOnce()) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let happening = async {
            tokio::task::yield_now().await;
            events();
        };
        let both = async { tokio::join!(health.until_call_may_hang(), happening) };
        let ended = tokio::time::timeout(Duration::from_secs(5), both).await;
        ended.is_ok()
    })
}

/// A watch begins while a relay reports that the store is available, but the store does not respond to this instance.
/// The watch would hang for its whole waiting time, so the next call to the store that gets no response has to end the
/// watch.
#[test]
fn a_call_without_a_response_ends_watches_although_a_relay_reports_the_store_available() {
    let health = StoreHealth::default();
    health.record_answer(TimeMs::new(1_000), key());
    let has_ended = ends_watch(&health, || {
        health.record_answer(TimeMs::new(1_200), key());
        health.record_failed_call();
    });
    assert!(has_ended, "the watch has not ended");
}

/// An instance starts while the store is silent, gets its data from others, and sends a watch. The store answers its next
/// call, so that no call fails any more. Without an end by this return the watch would hang, and the instance would go by
/// an old configuration for as long as it waits.
#[test]
fn the_return_of_the_store_ends_watches_that_began_in_its_silence() {
    let health = StoreHealth::default();
    health.record_failed_call();
    assert!(health.mark_down());
    let has_ended = ends_watch(&health, || {
        health.record_answer(TimeMs::new(1_200), key());
    });
    assert!(has_ended, "the watch has not ended");
}

/// Guards against watches that end for each response of the store, which would send them all again each time.
#[test]
fn a_response_of_a_store_that_is_available_ends_no_watch() {
    let health = StoreHealth::default();
    health.record_answer(TimeMs::new(1_000), key());
    let has_ended = ends_watch(&health, || {
        health.record_answer(TimeMs::new(1_200), key());
    });
    assert!(!has_ended, "the watch has ended");
}

/// Guards against a pending watch that never gets the changes which the store has discarded: the loss that another
/// collection's watch meets has to end it, once, since each collection then gets the same response.
#[test]
fn a_loss_of_history_ends_watches_once() {
    let health = StoreHealth::default();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("a runtime");
    let ends = |lost_at_ms| {
        runtime.block_on(async {
            let losing = async {
                tokio::task::yield_now().await;
                health.record_history_lost(TimeMs::new(lost_at_ms));
            };
            let both = async { tokio::join!(health.until_history_lost(), losing) };
            let ended = tokio::time::timeout(Duration::from_millis(50), both).await;
            ended.is_ok()
        })
    };
    assert!(ends(1_000));
    assert!(!ends(1_199), "the same loss");
    assert!(ends(1_200), "another loss");
}
