//! Test oracle: the heads that the store accepted, and the invariants checked against them.

use std::collections::BTreeMap;

use damaskvane_config::apply::ActiveConfig;
use damaskvane_config::manifest::Head;
use damaskvane_config::submit::Outcome;
use damaskvane_config::ticket::{Overlap, Ticket};
use damaskvane_core::hash::ContentHash;
use damaskvane_core::ids;

/// The accepted heads in order, and the outcomes that operators received.
#[derive(Debug, Default)]
pub(super) struct Oracle {
    heads: Vec<Head>,
    reported_outcomes: BTreeMap<String, Outcome>,
}

impl Oracle {
    pub(super) fn accepted(&self) -> u64 {
        self.heads.len() as u64
    }

    pub(super) fn newest(&self) -> Head {
        self.heads.last().cloned().unwrap_or_default()
    }

    /// Records a head that the store accepted.
    ///
    /// Fails if the head doesn't follow the previous head, or if its ticket changes an object whose
    /// version differs from the ticket's base.
    pub(super) fn record_head(&mut self, bytes: &[u8], ticket: &Ticket) -> Result<(), String> {
        let head = Head::decode(bytes).map_err(|error| error.to_string())?;
        let before = self.newest();
        if head.ticket != before.ticket.next() || ticket.previous != before.ticket_hash {
            return Err(format!(
                "ticket {} doesn't follow ticket {}",
                head.ticket, before.ticket
            ));
        }
        if self
            .heads
            .iter()
            .any(|other| other.write_id == head.write_id)
        {
            return Err(format!("write {} was accepted twice", head.write_id));
        }
        if ticket.head_after(&before) != head {
            return Err(format!(
                "ticket {} changed objects that it doesn't name",
                head.ticket
            ));
        }
        for (object, base) in &ticket.base {
            if before.base_of(object) != *base {
                return Err(format!(
                    "ticket {} overwrote a concurrent change of {object}",
                    head.ticket
                ));
            }
        }
        self.heads.push(head);
        Ok(())
    }

    /// Records the outcome that an operator received.
    ///
    /// Fails if the submission was rejected because of an object that has not changed.
    pub(super) fn record_outcome(
        &mut self,
        write_id: &str,
        outcome: Outcome,
    ) -> Result<(), String> {
        if let Outcome::Overlapping(overlaps) = &outcome {
            let newest = self.newest();
            let unchanged = |overlap: &&Overlap| newest.base_of(&overlap.object) == overlap.base;
            if let Some(overlap) = overlaps.iter().find(unchanged) {
                let text = format!(
                    "{write_id} was rejected although {} is unchanged",
                    overlap.object
                );
                return Err(text);
            }
        }
        self.reported_outcomes.insert(write_id.to_owned(), outcome);
        Ok(())
    }

    /// Checks all reported outcomes against the accepted heads, including heads from delayed writes.
    pub(super) fn check_outcomes(&self) -> Result<(), String> {
        for (write_id, outcome) in &self.reported_outcomes {
            let accepted_head = self.heads.iter().find(|head| head.write_id == *write_id);
            let number = accepted_head.map(|head| head.ticket);
            let is_consistent = match outcome {
                Outcome::Accepted { number: reported } => number == Some(*reported),
                Outcome::Unknown(_) => true,
                _ => number.is_none(),
            };
            if !is_consistent {
                return Err(format!(
                    "{write_id} was reported as {outcome:?} but its accepted ticket is {number:?}"
                ));
            }
        }
        Ok(())
    }

    /// Checks that an instance's active configuration is the accepted state of its version.
    pub(super) fn check_active_config(&self, active_config: &ActiveConfig) -> Result<(), String> {
        let version = active_config.version();
        match self.state_hash(version) {
            Some(hash) if hash == active_config.state_hash() => Ok(()),
            Some(_) => Err(format!(
                "the active state of version {version} differs from the accepted state"
            )),
            None => Err(format!("version {version} is active but not accepted")),
        }
    }

    /// Checks that the history in the store holds every accepted ticket but the newest.
    pub(super) fn check_history(
        &self,
        stored_hash: impl Fn(ids::TicketNumber) -> Option<ContentHash>,
    ) -> Result<(), String> {
        let Some((_, older)) = self.heads.split_last() else {
            return Ok(());
        };
        for head in older {
            if stored_hash(head.ticket) != head.ticket_hash {
                return Err(format!("ticket {} is not in the history", head.ticket));
            }
        }
        Ok(())
    }

    fn state_hash(&self, version: ids::ConfigVersion) -> Option<ContentHash> {
        let index = usize::try_from(version.get().checked_sub(1)?).ok()?;
        self.heads.get(index).map(Head::state_hash)
    }
}
