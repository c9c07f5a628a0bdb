//! `history`: lists accepted tickets, newest first.

use core::fmt;

use damaskvane_config::object::ObjectId;
use damaskvane_config::ticket::Ticket;
use damaskvane_core::ids;
use damaskvane_objects::api::ObjectApi;
use serde::Serialize;

use crate::error::CtlError;
use crate::{history as accepted_history, store};

/// Summary of an accepted ticket.
#[derive(Debug, Clone, Serialize)]
pub struct TicketSummary {
    /// Number of the ticket.
    pub number: ids::TicketNumber,
    /// Operator who submitted the ticket, as identified by the access token.
    pub author: String,
    /// Reason of the change, as given by the operator.
    pub reason: String,
    /// Submission time in milliseconds since 1970, by the clock of the submitting machine.
    pub submitted_at_unix_ms: u64,
    /// Identifier of the submission.
    pub write_id: String,
    /// Objects that the ticket changed.
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

/// List of accepted tickets.
#[derive(Debug, Clone, Serialize)]
pub struct HistoryReport {
    /// Summaries of the tickets, newest first.
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

/// Reads the newest accepted tickets, at most `limit`.
///
/// # Errors
///
/// Fails if the platform can't be read or a ticket is corrupt.
pub fn history(api: &impl ObjectApi, limit: u64) -> Result<HistoryReport, CtlError> {
    let head = store::read_head(api)?;
    let oldest = (head.ticket.get() + 1).saturating_sub(limit);
    let oldest = ids::TicketNumber::new(oldest);
    let accepted = accepted_history::read_back_to(api, &head, oldest)?;
    Ok(HistoryReport {
        tickets: accepted
            .iter()
            .map(|accepted| TicketSummary::from(&accepted.ticket))
            .collect(),
    })
}
