//! Changes that are handed on between instances.

use damaskvane_routing::relay::{RelayLog, Since};

fn next<'a>(log: &RelayLog<&'a str>, revision: u64) -> Option<&'a str> {
    match log.since(revision) {
        Since::Next(batch) => Some(batch.body),
        Since::UpToDate | Since::Compacted { .. } => None,
    }
}

/// An instance has listed the store at one revision and its relay at another. It must get every batch that
/// holds a change it may lack, or a server that left would keep its requests.
#[test]
fn whoever_is_between_two_batches_gets_the_later_one_whole() {
    let mut log = RelayLog::new(10);
    log.append(20, "first", 5);
    log.append(30, "second", 6);
    assert_eq!(next(&log, 10), Some("first"));
    assert_eq!(next(&log, 15), Some("first"));
    assert_eq!(next(&log, 20), Some("second"));
    assert_eq!(log.since(30), Since::UpToDate);
    assert_eq!(log.since(44), Since::UpToDate);
}

/// The revision of the store moves on with changes of other collections. A batch after such a pause must
/// still connect to the one before, or everybody would read everything anew.
#[test]
fn batches_connect_over_pauses() {
    let mut log = RelayLog::new(10);
    log.append(12, "first", 5);
    log.append(90, "second", 6);
    assert_eq!(next(&log, 12), Some("second"));
    assert_eq!(next(&log, 50), Some("second"));
}

/// An instance was cut off for long, and the changes that it lacks are no longer kept. It must be told so:
/// given only the later ones, it would never hear of the rest.
#[test]
fn whoever_is_behind_the_log_reads_everything_anew() {
    let mut log = RelayLog::new(10);
    for revision in 11..60 {
        log.append(revision, "large", 100_000);
    }
    assert_eq!(log.since(10), Since::Compacted { resume_at: 59 });
    assert_eq!(next(&log, 58), Some("large"));
}

/// A relay that changes its own source may hear a batch twice.
#[test]
fn a_batch_that_leads_nowhere_is_left_out() {
    let mut log = RelayLog::new(10);
    log.append(20, "first", 5);
    log.append(20, "again", 5);
    assert_eq!(log.since(20), Since::UpToDate);
    assert_eq!(next(&log, 10), Some("first"));
}
