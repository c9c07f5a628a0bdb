//! The end of a table: nothing is dispatched from it any more.

use crate::home::{handover, name};

/// Who holds the table now, what was handed over, and what became known since.
#[derive(Debug)]
pub(super) struct Surrender<A> {
    successor: Option<name::Home>,
    parts: Vec<handover::HandoverPart<A>>,
    amendments: Vec<handover::HandoverRecord<A>>,
}

impl<A> Surrender<A> {
    /// No successor: keys that were not taken are *not run*, the others are lost with the process.
    pub(super) const fn without_successor() -> Self {
        Self {
            successor: None,
            parts: Vec::new(),
            amendments: Vec::new(),
        }
    }

    pub(super) const fn to(successor: name::Home, parts: Vec<handover::HandoverPart<A>>) -> Self {
        Self {
            successor: Some(successor),
            parts,
            amendments: Vec::new(),
        }
    }

    pub(super) const fn successor(&self) -> Option<&name::Home> {
        self.successor.as_ref()
    }

    /// The parts as they were first built: parts of two builds must not be mixed, since the
    /// successor takes the table as whole once it has each number.
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
