//! What really happened in the store, and what must hold against it.

use std::collections::BTreeMap;

use damaskvane_config::apply::ActiveConfig;
use damaskvane_config::manifest::Head;
use damaskvane_config::submit::Outcome;
use damaskvane_config::ticket::{Overlap, Ticket};
use damaskvane_core::hash::ContentHash;
use damaskvane_core::ids;

/// The accepted heads in order, and what operators were told.
#[derive(Debug, Default)]
pub(super) struct Truth {
    heads: Vec<Head>,
    told: BTreeMap<String, Outcome>,
}

impl Truth {
    pub(super) fn accepted(&self) -> u64 {
        self.heads.len() as u64
    }

    pub(super) fn newest(&self) -> Head {
        self.heads.last().cloned().unwrap_or_default()
    }

    /// Notes a head that the store took; it must follow the one before and change no object that
    /// its ticket was not written against.
    pub(super) fn note_head(&mut self, bytes: &[u8], ticket: &Ticket) -> Result<(), String> {
        let head = Head::decode(bytes).map_err(|error| error.to_string())?;
        let before = self.newest();
        if head.ticket != before.ticket.next() || ticket.previous != before.ticket_hash {
            return Err(format!("ticket {} follows {}", head.ticket, before.ticket));
        }
        if self
            .heads
            .iter()
            .any(|other| other.write_id == head.write_id)
        {
            return Err(format!("write {} is accepted twice", head.write_id));
        }
        if ticket.head_after(&before) != head {
            return Err(format!(
                "ticket {} changed what it doesn't name",
                head.ticket
            ));
        }
        for (object, base) in &ticket.base {
            if before.base_of(object) != *base {
                return Err(format!("ticket {} undid a change of {object}", head.ticket));
            }
        }
        self.heads.push(head);
        Ok(())
    }

    /// Notes what an operator was told; a refusal must name objects that did change.
    pub(super) fn note_told(&mut self, write_id: &str, outcome: Outcome) -> Result<(), String> {
        if let Outcome::Overlapping(overlaps) = &outcome {
            let newest = self.newest();
            let unchanged = |overlap: &&Overlap| newest.base_of(&overlap.object) == overlap.base;
            if let Some(overlap) = overlaps.iter().find(unchanged) {
                let text = format!("{write_id} was refused but {} is unchanged", overlap.object);
                return Err(text);
            }
        }
        self.told.insert(write_id.to_owned(), outcome);
        Ok(())
    }

    /// What operators were told must be so, whatever landed late.
    pub(super) fn check_told(&self) -> Result<(), String> {
        for (write_id, outcome) in &self.told {
            let landed = self.heads.iter().find(|head| head.write_id == *write_id);
            let number = landed.map(|head| head.ticket);
            let is_true = match outcome {
                Outcome::Accepted { number: told } => number == Some(*told),
                Outcome::Unknown(_) => true,
                _ => number.is_none(),
            };
            if !is_true {
                return Err(format!("{write_id} was told {outcome:?} but is {number:?}"));
            }
        }
        Ok(())
    }

    /// What an instance has in force must be what was accepted under that version.
    pub(super) fn check_in_force(&self, active_config: &ActiveConfig) -> Result<(), String> {
        let version = active_config.version();
        match self.state_hash(version) {
            Some(hash) if hash == active_config.state_hash() => Ok(()),
            Some(_) => Err(format!("another state is in force under version {version}")),
            None => Err(format!("version {version} is in force but not accepted")),
        }
    }

    /// Every ticket but the newest must be filed as accepted.
    pub(super) fn check_filed(
        &self,
        filed: impl Fn(ids::TicketNumber) -> Option<ContentHash>,
    ) -> Result<(), String> {
        let Some((_, older)) = self.heads.split_last() else {
            return Ok(());
        };
        for head in older {
            if filed(head.ticket) != head.ticket_hash {
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
