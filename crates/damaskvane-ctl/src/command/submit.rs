//! `submit`: puts a ticket into force.

use core::fmt;

use damaskvane_config::document::Document;
use damaskvane_config::manifest::Head;
use damaskvane_config::object::ObjectId;
use damaskvane_config::submit::Outcome;
use damaskvane_config::ticket::{Base, Changes, Draft, Overlap};
use damaskvane_core::hash::ContentHash;
use damaskvane_core::ids;
use damaskvane_objects::api::ObjectApi;
use damaskvane_objects::backoff::Backoff;
use serde::Serialize;

use crate::command::check;
use crate::error::CtlError;
use crate::{history, store};

/// An object that changed after the ticket was written, and who changed it.
#[derive(Debug, Clone, Serialize)]
pub struct ChangedObject {
    /// The object.
    pub object: ObjectId,
    /// The ticket that changed it.
    pub ticket: ids::TicketNumber,
    /// Who submitted that ticket.
    pub author: String,
    /// Why.
    pub reason: String,
}

impl fmt::Display for ChangedObject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            object,
            ticket,
            author,
            reason,
        } = self;
        write!(
            f,
            "{object} was changed by {author} in ticket {ticket} ({reason})"
        )
    }
}

/// An accepted ticket.
#[derive(Debug, Clone, Serialize)]
pub struct SubmitReport {
    /// Its number, which is also the version it made.
    pub ticket: ids::TicketNumber,
    /// Who submitted it, by the credential.
    pub author: String,
    /// The identity of the submission.
    pub write_id: String,
    /// The objects it touches.
    pub objects: Vec<ObjectId>,
}

impl fmt::Display for SubmitReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { ticket, author, .. } = self;
        write!(f, "ticket {ticket} by {author} is accepted")?;
        write!(f, ", {} objects", self.objects.len())
    }
}

/// What to submit.
#[derive(Debug, Clone, Default)]
pub struct Submit {
    /// The new states.
    pub changes: Changes,
    /// The declarations as written.
    pub text: String,
    /// Why.
    pub reason: String,
    /// The version that the declarations were written against; the newest if not given.
    pub base: Option<ids::ConfigVersion>,
    /// When, in milliseconds since 1970.
    pub now_unix_ms: u64,
    /// A number that differs between any two submissions.
    pub nonce: u128,
}

impl Submit {
    /// Submits the declarations of a document.
    #[must_use]
    pub fn of(document: &Document) -> Self {
        Self {
            changes: document.to_changes(),
            text: document.text().to_owned(),
            ..Self::default()
        }
    }
}

/// Submits a ticket and waits until it is known what became of it.
///
/// # Errors
///
/// When it is refused or its fate can't be learnt.
pub fn submit(
    api: &impl ObjectApi,
    request: Submit,
    backoff: &mut Backoff,
) -> Result<SubmitReport, CtlError> {
    if request.reason.trim().is_empty() {
        return Err(CtlError::Usage("--reason is missing or empty".into()));
    }
    let author = api.token_holder()?;
    let head = store::read_head(api)?;
    let draft = draft(api, request, &author, &head)?;
    let objects = draft.changes.keys().cloned().collect();
    let write_id = draft.write_id.clone();
    let base_version = draft.base_version;
    match store::submit(api, draft, backoff) {
        Outcome::Accepted { number } => Ok(SubmitReport {
            ticket: number,
            author,
            write_id,
            objects,
        }),
        Outcome::Overlapping(overlaps) => {
            Err(CtlError::Changed(attribute(api, &overlaps, base_version)?))
        }
        Outcome::Invalid(problems) => Err(CtlError::Invalid(problems)),
        Outcome::NotAccepted(reason) => Err(CtlError::NotAccepted(reason)),
        Outcome::Unknown(reason) => Err(CtlError::Unknown { reason, write_id }),
    }
}

fn draft(
    api: &impl ObjectApi,
    request: Submit,
    author: &str,
    head: &Head,
) -> Result<Draft, CtlError> {
    let base_version = request.base.unwrap_or(head.version);
    let base = base(api, head, &request.changes, base_version)?;
    let identity = format!("{author} {} {}", request.now_unix_ms, request.nonce);
    Ok(Draft {
        write_id: ContentHash::of(identity.as_bytes()).to_string(),
        author: author.to_owned(),
        reason: request.reason,
        submitted_at_unix_ms: request.now_unix_ms,
        base_version,
        base,
        changes: request.changes,
        text: request.text,
    })
}

/// The versions of the objects at the version the operator looked at.
fn base(
    api: &impl ObjectApi,
    head: &Head,
    changes: &Changes,
    base_version: ids::ConfigVersion,
) -> Result<Base, CtlError> {
    if base_version > head.version {
        let text = format!("--base {base_version} is above version {}", head.version);
        return Err(CtlError::Usage(text));
    }
    let mut base: Base = changes
        .keys()
        .map(|object| (object.clone(), head.base_of(object)))
        .collect();
    let first_after = ids::TicketNumber::new(base_version.get()).next();
    for later in history::back_to(api, head, first_after)? {
        for object in later.ticket.changes.keys() {
            // Changed since: whatever stands now, deletion included, is not what the operator saw.
            if let Some(version) = base.get_mut(object) {
                *version = ids::TicketNumber::new(base_version.get());
            }
        }
    }
    Ok(base)
}

/// Finds who changed the objects that stand in the way.
fn attribute(
    api: &impl ObjectApi,
    overlaps: &[Overlap],
    base_version: ids::ConfigVersion,
) -> Result<Vec<ChangedObject>, CtlError> {
    let head = store::read_head(api)?;
    let first_after = ids::TicketNumber::new(base_version.get()).next();
    let later = history::back_to(api, &head, first_after)?;
    let changed = |overlap: &Overlap| {
        let touches =
            |accepted: &&history::Accepted| accepted.ticket.changes.contains_key(&overlap.object);
        let ticket = later.iter().find(touches).map(|accepted| &accepted.ticket);
        ChangedObject {
            object: overlap.object.clone(),
            ticket: ticket.map_or(overlap.changed_by, |ticket| ticket.number),
            author: ticket.map_or_else(String::new, |ticket| ticket.author.clone()),
            reason: ticket.map_or_else(String::new, |ticket| ticket.reason.clone()),
        }
    };
    Ok(overlaps.iter().map(changed).collect())
}

/// Adds the document's places to the problems of a refused submission.
#[must_use]
pub fn located(error: CtlError, document: &Document) -> CtlError {
    check::located(error, document)
}
