//! `history`: accepted tickets, newest first.

use core::fmt;

use damaskvane_config::object::ObjectId;
use damaskvane_config::ticket::Ticket;
use damaskvane_core::ids;
use damaskvane_objects::api::ObjectApi;
use serde::Serialize;

use crate::error::CtlError;
use crate::{history as accepted_history, store};

/// A ticket in short.
#[derive(Debug, Clone, Serialize)]
pub struct TicketSummary {
    /// Its number.
    pub number: ids::TicketNumber,
    /// Who submitted it.
    pub author: String,
    /// Why.
    pub reason: String,
    /// When, in milliseconds since 1970 by the submitter's clock.
    pub submitted_at_unix_ms: u64,
    /// The identity of the submission.
    pub write_id: String,
    /// The objects it touched.
    pub objects: Vec<ObjectId>,
}

impl From<&Ticket> for TicketSummary {
    fn from(ticket: &Ticket) -> Self {
        Self {
            number: ticket.number,
            author: ticket.author.clone(),
            reason: ticket.reason.clone(),
            submitted_at_unix_ms: ticket.submitted_at_unix_ms,
            write_id: ticket.write_id.clone(),
            objects: ticket.changes.keys().cloned().collect(),
        }
    }
}

/// Accepted tickets.
#[derive(Debug, Clone, Serialize)]
pub struct HistoryReport {
    /// The newest first.
    pub tickets: Vec<TicketSummary>,
}

impl fmt::Display for HistoryReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines = self.tickets.iter().map(|ticket| {
            format!(
                "{:>6}  {}  {}  {} objects  write {}",
                ticket.number.get(),
                ticket.author,
                ticket.reason,
                ticket.objects.len(),
                ticket.write_id
            )
        });
        f.write_str(&lines.collect::<Vec<_>>().join("\n"))
    }
}

/// Reads the newest tickets.
///
/// # Errors
///
/// When the platform can't be read or a ticket is broken.
pub fn history(api: &impl ObjectApi, limit: u64) -> Result<HistoryReport, CtlError> {
    let head = store::read_head(api)?;
    let oldest = (head.ticket.get() + 1).saturating_sub(limit);
    let oldest = ids::TicketNumber::new(oldest);
    let accepted = accepted_history::back_to(api, &head, oldest)?;
    Ok(HistoryReport {
        tickets: accepted
            .iter()
            .map(|accepted| TicketSummary::from(&accepted.ticket))
            .collect(),
    })
}
