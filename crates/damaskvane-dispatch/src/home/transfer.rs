//! The handover of the table of idempotency keys from a leaving instance to its successor.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_dispatch::home;
//!
//! let settings = home::HomeSettings::default();
//! let (leaving, staying) = ("sask-a-1/3".parse::<home::Home>()?, "sask-b-1/7".parse::<home::Home>()?);
//! let mut old: home::HomeTable<u64> = home::HomeTable::new(leaving, settings.clone());
//! let mut new: home::HomeTable<u64> = home::HomeTable::new(staying.clone(), settings);
//! let now = time::TimeMs::ZERO;
//! for part in old.hand_over(now, &staying)? {
//!     new.accept_handover(now, part.clone())?;
//! }
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

use damaskvane_core::time;

use crate::home::response_size::ResponseSize;
use crate::home::{
    begin, closed_table, error, handover, name, record, snapshot, table, taken_over,
};

/// The factor by which the limits of the settings grow for a table that takes over another home's table.
const TAKEOVER_FACTOR: usize = 2;

impl<A: Clone + ResponseSize> table::HomeTable<A> {
    /// Ends dispatching for good and returns the parts of the table for one successor.
    ///
    /// Every call returns the same parts, so that they can be sent again.
    ///
    /// # Errors
    ///
    /// Fails if the table was handed over to another successor or closed, or if the successor is this
    /// instance.
    pub fn hand_over(
        &mut self,
        now: time::TimeMs,
        successor: &name::Home,
    ) -> Result<&[handover::HandoverPart<A>], error::HandoverError> {
        self.advance(now);
        if successor.instance == self.own_home.instance {
            return Err(error::HandoverError::Leaving);
        }
        let held_by = self
            .closed_table
            .as_ref()
            .map(closed_table::ClosedTable::successor);
        match held_by {
            None => {
                let parts = self.parts_for(successor);
                self.record_own_successor(successor);
                self.closed_table = Some(closed_table::ClosedTable::handed_over_to(
                    successor.clone(),
                    parts,
                ));
            }
            Some(held_by) if held_by == Some(successor) => {}
            Some(held_by) => {
                return Err(error::HandoverError::OtherSuccessor {
                    successor: held_by
                        .map_or_else(|| "no successor".to_owned(), ToString::to_string),
                });
            }
        }
        Ok(self
            .closed_table
            .as_ref()
            .map_or(&[], closed_table::ClosedTable::parts))
    }

    /// Ends dispatching without a successor; new keys are answered with *not run* from now on.
    pub fn close(&mut self) {
        if self.closed_table.is_none() {
            self.closed_table = Some(closed_table::ClosedTable::without_successor());
        }
    }

    /// Takes the outcomes that arrived after the handover, to be sent to the successor in this order.
    pub fn take_amendments(&mut self) -> Vec<handover::HandoverRecord<A>> {
        self.closed_table
            .as_mut()
            .map(closed_table::ClosedTable::take_amendments)
            .unwrap_or_default()
    }

    /// Takes over a part of a departed home's table; a repeated part changes nothing.
    ///
    /// Until every part has arrived, a key that no received part contains is *unknown*.
    ///
    /// # Errors
    ///
    /// Fails if the part names another successor, the table has no capacity, or this instance is
    /// leaving.
    pub fn accept_handover(
        &mut self,
        now: time::TimeMs,
        part: handover::HandoverPart<A>,
    ) -> Result<(), error::HandoverError> {
        self.advance(now);
        if !self.is_own(&part.successor) {
            return Err(error::HandoverError::OtherIncarnation {
                successor: part.successor.to_string(),
            });
        }
        if self.closed_table.is_some() {
            return Err(error::HandoverError::Leaving);
        }
        if !self.has_capacity_for(&part) {
            return Err(error::HandoverError::TableFull);
        }
        self.take_over(part);
        Ok(())
    }

    /// Applies an outcome that the predecessor, a departed home, received after its handover to this instance.
    ///
    /// Returns `None` if the key is not in the table, or if this instance has dispatched it since.
    pub fn accept_amendment(
        &mut self,
        now: time::TimeMs,
        amendment: handover::HandoverRecord<A>,
    ) -> Option<begin::FinishedKey<A>> {
        self.advance(now);
        let handover::HandoverState::Done { outcome, .. } = amendment.state else {
            return None;
        };
        let record = self.records.get(&amendment.scope)?;
        if record.serial != record::PREDECESSOR_SERIAL {
            return None;
        }
        // Attempts that joined at the predecessor after the handover receive the same outcome; after
        // *not run*, they are superseded like the others.
        self.records
            .raise_highest_try(&amendment.scope, amendment.highest_try);
        Some(self.resolve(&amendment.scope, record::PREDECESSOR_SERIAL, outcome))
    }

    fn has_capacity_for(&self, part: &handover::HandoverPart<A>) -> bool {
        let tombstones: usize = part.homes.iter().map(|(_, digests)| digests.len()).sum();
        self.routes.has_capacity()
            && self.records.len() + part.records.len()
                <= self.settings.max_entries * TAKEOVER_FACTOR
            && self.accepted_keys() + tombstones <= self.settings.max_tombstones * TAKEOVER_FACTOR
    }

    fn take_over(&mut self, part: handover::HandoverPart<A>) {
        let until = self.now + self.settings.window();
        let mut is_new = false;
        for (home, digests) in &part.homes {
            if self.routes.is_closed(home) {
                continue;
            }
            let taken_over = taken_over::TakenOverHome::new(home.clone(), part.parts, until);
            is_new |= self
                .routes
                .take_over(taken_over)
                .receive(part.part, digests);
            self.routes
                .record_successor(home.clone(), self.own_home.clone(), until);
        }
        // A repeated part must not restore the old state of a key that has changed since.
        if !is_new {
            return;
        }
        for record in part.records {
            self.insert_handover_record(record);
        }
        for (scope, attempts) in part.superseded {
            self.supersede(&scope, attempts);
        }
    }

    fn insert_handover_record(&mut self, handover_record: handover::HandoverRecord<A>) {
        if self.records.get(&handover_record.scope).is_some() {
            return;
        }
        let state = match handover_record.state {
            handover::HandoverState::Running { time_left } => record::State::Running {
                abandon_at: self.now + time_left,
                waiters: Vec::new(),
            },
            handover::HandoverState::Done { outcome, time_left } => record::State::Done {
                outcome,
                until: self.now + time_left,
            },
        };
        let record = record::Record {
            incarnation: handover_record.incarnation,
            fingerprint: handover_record.fingerprint,
            serial: record::PREDECESSOR_SERIAL,
            highest_try: handover_record.highest_try,
            state,
        };
        self.records.insert(handover_record.scope, record);
    }

    fn record_own_successor(&mut self, successor: &name::Home) {
        let until = self.now + self.settings.window();
        self.routes
            .record_successor(self.own_home.clone(), successor.clone(), until);
    }

    fn parts_for(&self, successor: &name::Home) -> Vec<handover::HandoverPart<A>> {
        let mut homes = vec![(self.own_home.clone(), self.tombstones.to_vec())];
        // An incomplete table can't be handed over, since the next successor would treat it as complete.
        for taken_over in self
            .routes
            .all_taken_over()
            .filter(|home| home.is_complete())
        {
            homes.push((taken_over.home().clone(), taken_over.tombstones().to_vec()));
        }
        let records = self
            .records
            .iter()
            .map(|(scope, record)| record.hand_over(scope, self.now))
            .collect();
        let table = snapshot::TableSnapshot {
            from: self.own_home.clone(),
            successor: successor.clone(),
            homes,
            records,
            superseded: self.superseded.to_vec(),
        };
        table.split(self.settings.handover_records)
    }
}
