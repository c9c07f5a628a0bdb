//! Reads accepted tickets, from the head backwards.
//!
//! A ticket is accepted only if the head references it, directly or through later tickets. The newest ticket is read
//! by the hash in the head. Each older ticket is read by its number and compared with the hash in its successor.
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

/// Returns the numbers of all accepted tickets, newest first.
pub fn numbers(head: &Head) -> impl Iterator<Item = ids::TicketNumber> + use<> {
    (1..=head.ticket.get()).rev().map(ids::TicketNumber::new)
}

/// Accepted ticket with its stored bytes.
#[derive(Debug, Clone)]
pub struct AcceptedTicket {
    /// Decoded ticket.
    pub ticket: Ticket,
    /// Encoded ticket, exactly as accepted.
    pub bytes: Vec<u8>,
    /// Hash of `bytes`.
    pub hash: ContentHash,
}

/// Reads and verifies the accepted tickets from the newest back to `oldest`, newest first.
///
/// # Errors
///
/// Fails if a ticket can't be read or differs from the hash in its successor.
pub fn read_back_to(
    api: &impl ObjectApi,
    head: &Head,
    oldest: ids::TicketNumber,
) -> Result<Vec<AcceptedTicket>, CtlError> {
    let mut accepted = Vec::new();
    let mut hash = head.ticket_hash;
    for number in numbers(head).take_while(|number| *number >= oldest) {
        let expected_hash = hash.ok_or(CtlError::NoTicket(number))?;
        let ticket = if number == head.ticket {
            read_newest(api, expected_hash)?
        } else {
            read_by_number(api, number)?
        };
        check(&ticket, number, expected_hash)?;
        hash = ticket.ticket.previous;
        accepted.push(ticket);
    }
    Ok(accepted)
}

/// Reads and verifies one accepted ticket.
///
/// # Errors
///
/// Fails if the ticket doesn't exist, can't be read or differs from the hash in its successor.
pub fn read(
    api: &impl ObjectApi,
    head: &Head,
    number: ids::TicketNumber,
) -> Result<AcceptedTicket, CtlError> {
    if number.get() == 0 || number > head.ticket {
        return Err(CtlError::NoTicket(number));
    }
    if number == head.ticket {
        let hash = head.ticket_hash.ok_or(CtlError::NoTicket(number))?;
        return read_newest(api, hash);
    }
    let ticket = read_by_number(api, number)?;
    let successor = if number.next() == head.ticket {
        let hash = head.ticket_hash.ok_or(CtlError::NoTicket(number))?;
        read_newest(api, hash)?
    } else {
        read_by_number(api, number.next())?
    };
    let expected_hash = successor
        .ticket
        .previous
        .ok_or(CtlError::NoTicket(number))?;
    check(&ticket, number, expected_hash)?;
    Ok(ticket)
}

fn read_newest(api: &impl ObjectApi, hash: ContentHash) -> Result<AcceptedTicket, CtlError> {
    let chunk = store::read_chunk(api, hash)?;
    decode(chunk.bytes().to_vec())
}

fn read_by_number(
    api: &impl ObjectApi,
    number: ids::TicketNumber,
) -> Result<AcceptedTicket, CtlError> {
    let key = ObjectKey::new("ticket", number.to_string());
    let object = api.get(&key)?.ok_or(CtlError::NoTicket(number))?;
    decode(object.value)
}

fn decode(bytes: Vec<u8>) -> Result<AcceptedTicket, CtlError> {
    let ticket =
        Ticket::decode(&bytes).map_err(|error| CtlError::InvalidData(error.to_string()))?;
    Ok(AcceptedTicket {
        ticket,
        hash: ContentHash::of(&bytes),
        bytes,
    })
}

fn check(
    accepted: &AcceptedTicket,
    number: ids::TicketNumber,
    expected_hash: ContentHash,
) -> Result<(), CtlError> {
    if accepted.hash == expected_hash && accepted.ticket.number == number {
        return Ok(());
    }
    let text = format!(
        "ticket {number} differs from the accepted one, whose hash is {expected_hash}; compare it with an export"
    );
    Err(CtlError::InvalidData(text))
}
