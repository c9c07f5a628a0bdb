//! `show`: shows an accepted ticket, or lists the accepted objects.

use core::fmt;
use std::collections::BTreeMap;

use damaskvane_config::declaration::Declaration;
use damaskvane_config::object::ObjectId;
use damaskvane_config::ticket::Ticket;
use damaskvane_core::ids;
use damaskvane_objects::api::ObjectApi;
use serde::Serialize;

use crate::error::CtlError;
use crate::{history, store};

/// Accepted ticket with the declarations that it changed.
#[derive(Debug, Clone, Serialize)]
pub struct ShowReport {
    /// Ticket as accepted.
    pub ticket: Ticket,
    /// Complete new declaration of each changed object; `null` if the object was deleted.
    pub states: BTreeMap<ObjectId, Option<Declaration>>,
}

impl fmt::Display for ShowReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ticket = &self.ticket;
        writeln!(f, "ticket {}", ticket.number)?;
        writeln!(f, "author {}", ticket.author)?;
        writeln!(f, "reason {}", ticket.reason)?;
        writeln!(f, "submitted_at_unix_ms {}", ticket.submitted_at_unix_ms)?;
        writeln!(f, "write_id {}", ticket.write_id)?;
        writeln!(f, "base version {}", ticket.base_version)?;
        for (object, version) in &ticket.base {
            writeln!(f, "base {object} of ticket {version}")?;
        }
        write!(f, "\n{}", ticket.text)
    }
}

/// Accepted objects, each with the ticket that last changed it.
#[derive(Debug, Clone, Serialize)]
pub struct ObjectsReport {
    /// Accepted version.
    pub version: ids::ConfigVersion,
    /// Ticket that last changed each object.
    pub objects: BTreeMap<ObjectId, ids::TicketNumber>,
}

impl fmt::Display for ObjectsReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "version {}", self.version)?;
        for (object, ticket) in &self.objects {
            write!(f, "\n{object}  ticket {ticket}")?;
        }
        Ok(())
    }
}

/// Reads one accepted ticket.
///
/// # Errors
///
/// Fails if the platform can't be read, or if the ticket doesn't exist or is corrupt.
pub fn show(api: &impl ObjectApi, number: ids::TicketNumber) -> Result<ShowReport, CtlError> {
    let head = store::read_head(api)?;
    let ticket = history::read(api, &head, number)?.ticket;
    let mut states = BTreeMap::new();
    for (object, hash) in &ticket.changes {
        let state = match hash {
            Some(hash) => Some(read_state(api, *hash)?),
            None => None,
        };
        states.insert(object.clone(), state);
    }
    Ok(ShowReport { ticket, states })
}

/// Lists the accepted objects.
///
/// # Errors
///
/// Fails if the platform can't be read or holds no configuration.
pub fn show_objects(api: &impl ObjectApi) -> Result<ObjectsReport, CtlError> {
    let head = store::read_head(api)?;
    if head.version.get() == 0 {
        return Err(CtlError::NoConfiguration);
    }
    let tickets = head.objects.iter();
    Ok(ObjectsReport {
        version: head.version,
        objects: tickets
            .map(|(object, entry)| (object.clone(), entry.ticket))
            .collect(),
    })
}

fn read_state(
    api: &impl ObjectApi,
    hash: damaskvane_core::hash::ContentHash,
) -> Result<Declaration, CtlError> {
    let chunk = store::read_chunk(api, hash)?;
    let (_, declaration) = chunk
        .decode()
        .map_err(|error| CtlError::InvalidData(error.to_string()))?;
    Ok(declaration)
}
