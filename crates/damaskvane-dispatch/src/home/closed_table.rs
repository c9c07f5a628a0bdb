//! The state of a key table whose instance is leaving and dispatches no more keys.

use crate::home::{handover, name};

/// The successor that holds the table, the parts handed over, and the amendments: the outcomes that arrived
/// after the handover and were not yet taken for sending.
#[derive(Debug)]
pub(super) struct ClosedTable<A> {
    successor: Option<name::Home>,
    parts: Vec<handover::HandoverPart<A>>,
    amendments: Vec<handover::HandoverRecord<A>>,
}

impl<A> ClosedTable<A> {
    /// Returns the state without a successor: new keys are answered with *not run*, and the table's keys are
    /// lost when the process ends.
    pub(super) const fn without_successor() -> Self {
        Self {
            successor: None,
            parts: Vec::new(),
            amendments: Vec::new(),
        }
    }

    pub(super) const fn handed_over_to(
        successor: name::Home,
        parts: Vec<handover::HandoverPart<A>>,
    ) -> Self {
        Self {
            successor: Some(successor),
            parts,
            amendments: Vec::new(),
        }
    }

    pub(super) const fn successor(&self) -> Option<&name::Home> {
        self.successor.as_ref()
    }

    /// Returns the parts of the handover, which are built only once.
    ///
    /// Parts of two builds must not be mixed, since the successor treats the table as complete once
    /// every part number has arrived.
    pub(super) fn parts(&self) -> &[handover::HandoverPart<A>] {
        &self.parts
    }

    pub(super) fn amend(&mut self, record: handover::HandoverRecord<A>) {
        if self.successor.is_some() {
            self.amendments.push(record);
        }
    }

    pub(super) fn take_amendments(&mut self) -> Vec<handover::HandoverRecord<A>> {
        core::mem::take(&mut self.amendments)
    }
}
