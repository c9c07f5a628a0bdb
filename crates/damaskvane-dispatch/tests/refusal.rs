//! Tests of the labels, HTTP statuses and outcomes of the refusal and retry reasons.

use std::collections;

use damaskvane_dispatch::{refusal, retry};

#[test]
fn every_refusal_reason_has_a_unique_label_a_remedy_and_a_documented_status() {
    let mut labels = collections::BTreeSet::new();
    for reason in refusal::RefusalReason::ALL {
        assert!(
            labels.insert(reason.as_str()),
            "the label {reason} is not unique"
        );
        assert_eq!(reason.as_str().parse(), Ok(reason));
        assert!(!reason.remedy().is_empty());
        assert!(reason.default_retry_after().get() > 0);
        let documented: &[u16] = if reason.means_not_run() {
            &[400, 404, 413, 429, 503]
        } else {
            &[502]
        };
        assert!(documented.contains(&reason.status()), "{reason}");
    }
}

#[test]
fn every_retry_reason_has_a_unique_label() {
    let labels: collections::BTreeSet<_> = retry::RetryReason::ALL
        .into_iter()
        .map(retry::RetryReason::as_str)
        .collect();
    assert_eq!(labels.len(), retry::RetryReason::ALL.len());
}
