//! Tests of the log of store changes that instances relay to each other.
//!
//! The log holds batches of changes of one collection (a set of records in the store), each with the store's revision,
//! a number that grows with every change.

use damaskvane_routing::relay::{RelayLog, Since};

/// Returns the body of the first batch after a revision, or `None` if the log has no such batch or no longer retains
/// it.
fn next<'a>(log: &RelayLog<&'a str>, revision: u64) -> Option<&'a str> {
    match log.since(revision) {
        Since::Next(batch) => Some(batch.body),
        Since::UpToDate | Since::Compacted { .. } => None,
    }
}

/// Guards against missed changes: an instance has listed the store at one revision, and the relay that sends it changes
/// has batches with other revisions. The instance must receive every batch with a change that it may lack, or it would
/// still send requests to a server that has left.
#[test]
fn an_instance_between_two_batches_receives_the_whole_later_batch() {
    let mut log = RelayLog::new(10);
    log.append(20, "first", 5);
    log.append(30, "second", 6);
    assert_eq!(next(&log, 10), Some("first"));
    assert_eq!(next(&log, 15), Some("first"));
    assert_eq!(next(&log, 20), Some("second"));
    assert_eq!(log.since(30), Since::UpToDate);
    assert_eq!(log.since(44), Since::UpToDate);
}

/// Guards against needless reads of the whole collection: changes of other collections advance the store's revision
/// between two batches, and the later batch must still follow the earlier one. Otherwise all instances would read the
/// collection again.
#[test]
fn batches_connect_across_revisions_of_other_collections() {
    let mut log = RelayLog::new(10);
    log.append(12, "first", 5);
    log.append(90, "second", 6);
    assert_eq!(next(&log, 12), Some("second"));
    assert_eq!(next(&log, 50), Some("second"));
}

/// Guards against missed changes: an instance was disconnected for so long that the changes it lacks are no longer
/// retained. The log must report the gap, because with only the later changes the instance would never receive the lost
/// ones.
#[test]
fn an_instance_behind_the_log_reads_the_collection_again() {
    let mut log = RelayLog::new(10);
    for revision in 11..60 {
        log.append(revision, "large", 100_000);
    }
    assert_eq!(log.since(10), Since::Compacted { resume_at: 59 });
    assert_eq!(next(&log, 58), Some("large"));
}

/// Guards against a batch that is applied twice: a relay that switches to another source may receive a batch again.
#[test]
fn a_batch_that_does_not_advance_the_log_is_ignored() {
    let mut log = RelayLog::new(10);
    log.append(20, "first", 5);
    log.append(20, "again", 5);
    assert_eq!(log.since(20), Since::UpToDate);
    assert_eq!(next(&log, 10), Some("first"));
}
