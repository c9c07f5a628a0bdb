//! Accepted tickets, followed from the head.
//!
//! Only what a head names is accepted. The newest ticket is read by the hash that the head names;
//! each older one by its number, and compared with the hash that its successor names.
//!
//! ```
//! use damaskvane_config::manifest;
//! use damaskvane_ctl::history;
//!
//! assert_eq!(history::numbers(&manifest::Head::default()).count(), 0);
//! ```

use damaskvane_config::manifest::Head;
use damaskvane_config::ticket::Ticket;
use damaskvane_core::hash::ContentHash;
use damaskvane_core::ids;
use damaskvane_objects::api::{ObjectApi, ObjectKey};

use crate::error::CtlError;
use crate::store;

/// The numbers of all accepted tickets, newest first.
pub fn numbers(head: &Head) -> impl Iterator<Item = ids::TicketNumber> + use<> {
    (1..=head.ticket.get()).rev().map(ids::TicketNumber::new)
}

/// An accepted ticket with its bytes as accepted.
#[derive(Debug, Clone)]
pub struct Accepted {
    /// The ticket.
    pub ticket: Ticket,
    /// Its bytes.
    pub bytes: Vec<u8>,
    /// The hash over the bytes.
    pub hash: ContentHash,
}

/// Reads tickets from the newest back to `oldest`, each compared with what its successor names.
///
/// # Errors
///
/// When a ticket can't be read or is not what its successor names.
pub fn back_to(
    api: &impl ObjectApi,
    head: &Head,
    oldest: ids::TicketNumber,
) -> Result<Vec<Accepted>, CtlError> {
    let mut accepted = Vec::new();
    let mut hash = head.ticket_hash;
    for number in numbers(head).take_while(|number| *number >= oldest) {
        let named = hash.ok_or(CtlError::NoTicket(number))?;
        let ticket = if number == head.ticket {
            read_newest(api, named)?
        } else {
            read_filed(api, number)?
        };
        check(&ticket, number, named)?;
        hash = ticket.ticket.previous;
        accepted.push(ticket);
    }
    Ok(accepted)
}

/// Reads one ticket.
///
/// # Errors
///
/// When there is no such ticket or it is not what its successor names.
pub fn read(
    api: &impl ObjectApi,
    head: &Head,
    number: ids::TicketNumber,
) -> Result<Accepted, CtlError> {
    if number.get() == 0 || number > head.ticket {
        return Err(CtlError::NoTicket(number));
    }
    if number == head.ticket {
        let hash = head.ticket_hash.ok_or(CtlError::NoTicket(number))?;
        return read_newest(api, hash);
    }
    let ticket = read_filed(api, number)?;
    let successor = if number.next() == head.ticket {
        let hash = head.ticket_hash.ok_or(CtlError::NoTicket(number))?;
        read_newest(api, hash)?
    } else {
        read_filed(api, number.next())?
    };
    let named = successor
        .ticket
        .previous
        .ok_or(CtlError::NoTicket(number))?;
    check(&ticket, number, named)?;
    Ok(ticket)
}

fn read_newest(api: &impl ObjectApi, hash: ContentHash) -> Result<Accepted, CtlError> {
    let chunk = store::read_chunk(api, hash)?;
    decode(chunk.bytes().to_vec())
}

fn read_filed(api: &impl ObjectApi, number: ids::TicketNumber) -> Result<Accepted, CtlError> {
    let key = ObjectKey::new("ticket", number.to_string());
    let object = api.get(&key)?.ok_or(CtlError::NoTicket(number))?;
    decode(object.value)
}

fn decode(bytes: Vec<u8>) -> Result<Accepted, CtlError> {
    let ticket = Ticket::decode(&bytes).map_err(|error| CtlError::Broken(error.to_string()))?;
    Ok(Accepted {
        ticket,
        hash: ContentHash::of(&bytes),
        bytes,
    })
}

fn check(
    accepted: &Accepted,
    number: ids::TicketNumber,
    named: ContentHash,
) -> Result<(), CtlError> {
    if accepted.hash == named && accepted.ticket.number == number {
        return Ok(());
    }
    let text = format!("ticket {number} is not the one that was accepted, {named}");
    Err(CtlError::Broken(text))
}
