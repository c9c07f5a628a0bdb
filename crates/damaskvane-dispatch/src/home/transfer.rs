//! The handover of a table from a leaving instance to its successor.
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
use crate::home::{adopted, begin, error, handover, name, parts, record, surrender, table};

/// How much of its bounds a table fills when it holds an adopted one as well.
const ADOPTION_FACTOR: usize = 2;

impl<A: Clone + ResponseSize> table::HomeTable<A> {
    /// Ends dispatching and hands the table to one successor, for good.
    ///
    /// The parts are the same on every call, so that they can be sent again.
    ///
    /// # Errors
    ///
    /// Another successor holds the table already, or the successor is this instance.
    pub fn hand_over(
        &mut self,
        now: time::TimeMs,
        successor: &name::Home,
    ) -> Result<&[handover::HandoverPart<A>], error::HandoverError> {
        self.advance(now);
        if successor.instance == self.me.instance {
            return Err(error::HandoverError::Leaving);
        }
        let held_by = self.surrender.as_ref().map(surrender::Surrender::successor);
        match held_by {
            None => {
                let parts = self.parts_for(successor);
                self.learn_departed(successor);
                self.surrender = Some(surrender::Surrender::to(successor.clone(), parts));
            }
            Some(held_by) if held_by == Some(successor) => {}
            Some(held_by) => {
                return Err(error::HandoverError::OtherSuccessor {
                    successor: held_by.map_or_else(|| "nobody".to_owned(), ToString::to_string),
                });
            }
        }
        Ok(self
            .surrender
            .as_ref()
            .map_or(&[], surrender::Surrender::parts))
    }

    /// Ends dispatching without a successor: new keys are *not run* from here on.
    pub fn close(&mut self) {
        if self.surrender.is_none() {
            self.surrender = Some(surrender::Surrender::without_successor());
        }
    }

    /// Outcomes that became known after the handover, to be sent to the successor in this order.
    pub fn take_amendments(&mut self) -> Vec<handover::HandoverRecord<A>> {
        self.surrender
            .as_mut()
            .map(surrender::Surrender::take_amendments)
            .unwrap_or_default()
    }

    /// Takes over a part of a departed home's table; a part that arrives again changes nothing.
    ///
    /// Until every part is there, a key of the departed home that is not in one is *unknown*.
    ///
    /// # Errors
    ///
    /// The part is for another incarnation, the table has no room, or this instance is leaving.
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
        if self.surrender.is_some() {
            return Err(error::HandoverError::Leaving);
        }
        if !self.has_room_for(&part) {
            return Err(error::HandoverError::TableFull);
        }
        self.adopt(part);
        Ok(())
    }

    /// Takes over an outcome that became known to the predecessor after its handover.
    ///
    /// `None` if the key is not kept or was dispatched here since.
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
        if record.serial != record::PREDECESSORS_SERIAL {
            return None;
        }
        // Tries that joined at the predecessor after the handover hear its outcome as well; if it is
        // *not run*, they are barred with the others.
        self.records
            .raise_highest_try(&amendment.scope, amendment.highest_try);
        Some(self.resolve(&amendment.scope, record::PREDECESSORS_SERIAL, outcome))
    }

    fn has_room_for(&self, part: &handover::HandoverPart<A>) -> bool {
        let tombstones: usize = part.homes.iter().map(|(_, digests)| digests.len()).sum();
        self.routes.has_room()
            && self.records.len() + part.records.len()
                <= self.settings.max_entries * ADOPTION_FACTOR
            && self.taken_keys() + tombstones <= self.settings.max_tombstones * ADOPTION_FACTOR
    }

    fn adopt(&mut self, part: handover::HandoverPart<A>) {
        let until = self.now + self.settings.window();
        let mut is_new = false;
        for (home, digests) in &part.homes {
            if self.routes.is_closed(home) {
                continue;
            }
            let adopted = adopted::Adopted::new(home.clone(), part.parts, until);
            is_new |= self.routes.adopt(adopted).receive(part.part, digests);
            self.routes.learn(home.clone(), self.me.clone(), until);
        }
        // A part that is there already must not bring back a key that has changed since.
        if !is_new {
            return;
        }
        for record in part.records {
            self.insert_handed(record);
        }
        for (scope, barred) in part.superseded {
            self.bar(&scope, barred);
        }
    }

    fn insert_handed(&mut self, handed: handover::HandoverRecord<A>) {
        if self.records.get(&handed.scope).is_some() {
            return;
        }
        let state = match handed.state {
            handover::HandoverState::Running { time_left } => record::State::Running {
                given_up_at: self.now + time_left,
                waiters: Vec::new(),
            },
            handover::HandoverState::Done { outcome, time_left } => record::State::Done {
                outcome,
                until: self.now + time_left,
            },
        };
        let record = record::Record {
            incarnation: handed.incarnation,
            fingerprint: handed.fingerprint,
            serial: record::PREDECESSORS_SERIAL,
            highest_try: handed.highest_try,
            state,
        };
        self.records.insert(handed.scope, record);
    }

    fn learn_departed(&mut self, successor: &name::Home) {
        let until = self.now + self.settings.window();
        self.routes.learn(self.me.clone(), successor.clone(), until);
    }

    fn parts_for(&self, successor: &name::Home) -> Vec<handover::HandoverPart<A>> {
        let mut homes = vec![(self.me.clone(), self.tombstones.to_vec())];
        // A table that is not whole can't be passed on as one.
        for adopted in self.routes.all_adopted().filter(|home| home.is_whole()) {
            homes.push((adopted.home().clone(), adopted.tombstones().to_vec()));
        }
        let records = self
            .records
            .iter()
            .map(|(scope, record)| record.hand_over(scope, self.now))
            .collect();
        let table = parts::WholeTable {
            from: self.me.clone(),
            successor: successor.clone(),
            homes,
            records,
            superseded: self.superseded.pairs(),
        };
        table.split(self.settings.handover_records)
    }
}
