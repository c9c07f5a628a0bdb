//! Limits of the backoff and of the rate budget.

use damaskvane_core::time::TimeMs;
use damaskvane_objects::backoff::{Backoff, BackoffSettings};
use damaskvane_objects::budget::RateBudget;

#[test]
fn pauses_grow_to_their_limit_and_differ_between_seeds() {
    let pauses = |seed| {
        let mut backoff = Backoff::new(BackoffSettings::default(), seed);
        [(); 10].map(|()| backoff.pause().get())
    };
    let first = pauses(1);
    assert!(
        first[0] <= 100 && first[9] >= 2_500 && first[9] <= 5_000,
        "{first:?}"
    );
    assert_ne!(first, pauses(2));
    assert_eq!(first, pauses(1));
}

#[test]
fn calls_per_second_stay_within_the_rate_and_one_burst() {
    let mut budget = RateBudget::new(10, TimeMs::ZERO);
    let taken = (0..5_000).filter(|ms| budget.take(TimeMs::new(*ms)).is_ok());
    let taken: Vec<u64> = taken.collect();
    assert_eq!(taken.len(), 10 + 49);
    for (index, ms) in taken.iter().enumerate() {
        let calls_within_1_s = taken[index..]
            .iter()
            .take_while(|other| **other < ms + 1_000);
        assert!(calls_within_1_s.count() <= 20);
    }
    assert!(
        budget.take(TimeMs::new(1)).is_err(),
        "a clock that steps back gives no calls"
    );
}
