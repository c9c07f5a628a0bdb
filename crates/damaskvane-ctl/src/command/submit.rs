//! `submit`: submits a ticket to the platform.

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

/// Object that changed after the base version of a submission, with the change.
#[derive(Debug, Clone, Serialize)]
pub struct ChangedObject {
    /// Identifier of the object.
    pub object: ObjectId,
    /// Ticket that changed the object.
    pub ticket: ids::TicketNumber,
    /// Operator who submitted that ticket; empty if the ticket was not found.
    pub author: String,
    /// Reason of that ticket; empty if the ticket was not found.
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

/// Result of an accepted submission.
#[derive(Debug, Clone, Serialize)]
pub struct SubmitReport {
    /// Number of the ticket, which is also the resulting configuration version.
    pub ticket: ids::TicketNumber,
    /// Operator who submitted the ticket, as identified by the access token.
    pub author: String,
    /// Identifier of the submission.
    pub write_id: String,
    /// Objects that the ticket changes.
    pub objects: Vec<ObjectId>,
}

impl fmt::Display for SubmitReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { ticket, author, .. } = self;
        write!(f, "ticket {ticket} by {author} is accepted")?;
        write!(f, ", {} objects", self.objects.len())
    }
}

/// Changes to submit as one ticket.
#[derive(Debug, Clone, Default)]
pub struct SubmitRequest {
    /// New declaration of each changed object; `None` deletes the object.
    pub changes: Changes,
    /// Declarations as written by the operator.
    pub text: String,
    /// Reason of the change.
    pub reason: String,
    /// Version that the declarations were written against; `None` for the newest.
    pub base: Option<ids::ConfigVersion>,
    /// Submission time in milliseconds since 1970.
    pub now_unix_ms: u64,
    /// Number that is unique to the submission.
    pub nonce: u128,
}

impl SubmitRequest {
    /// Creates a request from the declarations of a document; the caller sets the other fields.
    #[must_use]
    pub fn of(document: &Document) -> Self {
        Self {
            changes: document.to_changes(),
            text: document.text().to_owned(),
            ..Self::default()
        }
    }
}

/// Submits a ticket and blocks until its outcome is known or can't be determined.
///
/// # Errors
///
/// Fails if the reason is missing, the platform can't be read, the ticket is refused or its outcome is unknown.
pub fn submit(
    api: &impl ObjectApi,
    request: SubmitRequest,
    backoff: &mut Backoff,
) -> Result<SubmitReport, CtlError> {
    if request.reason.trim().is_empty() {
        return Err(CtlError::Usage(
            "missing option '--reason'; give a reason that is not empty, see --help".into(),
        ));
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
        Outcome::Overlapping(overlaps) => Err(CtlError::Changed(find_changed_objects(
            api,
            &overlaps,
            base_version,
        )?)),
        Outcome::Invalid(problems) => Err(CtlError::Invalid(problems)),
        Outcome::NotAccepted(reason) => Err(CtlError::NotAccepted(reason)),
        Outcome::Unknown(reason) => Err(CtlError::Unknown { reason, write_id }),
    }
}

fn draft(
    api: &impl ObjectApi,
    request: SubmitRequest,
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

/// Returns the base of each object to change: the ticket that last changed the object, or `base_version` if the
/// object changed after that version.
///
/// # Errors
///
/// Fails if `base_version` is above the accepted version or a later ticket can't be read.
fn base(
    api: &impl ObjectApi,
    head: &Head,
    changes: &Changes,
    base_version: ids::ConfigVersion,
) -> Result<Base, CtlError> {
    if base_version > head.version {
        let text = format!(
            "invalid value \"{base_version}\" for option '--base'; use a version up to the accepted one, {}",
            head.version
        );
        return Err(CtlError::Usage(text));
    }
    let mut base: Base = changes
        .keys()
        .map(|object| (object.clone(), head.base_of(object)))
        .collect();
    let first_after = ids::TicketNumber::new(base_version.get()).next();
    for later in history::read_back_to(api, head, first_after)? {
        for object in later.ticket.changes.keys() {
            // The object changed after the base version. Its current state, deletion included, is not the state that
            // the operator saw, so the recorded base must differ from the current one.
            if let Some(version) = base.get_mut(object) {
                *version = ids::TicketNumber::new(base_version.get());
            }
        }
    }
    Ok(base)
}

/// Returns the objects that overlap with later changes, each with the newest ticket that changed the object.
fn find_changed_objects(
    api: &impl ObjectApi,
    overlaps: &[Overlap],
    base_version: ids::ConfigVersion,
) -> Result<Vec<ChangedObject>, CtlError> {
    let head = store::read_head(api)?;
    let first_after = ids::TicketNumber::new(base_version.get()).next();
    let later = history::read_back_to(api, &head, first_after)?;
    let changed = |overlap: &Overlap| {
        let touches = |accepted: &&history::AcceptedTicket| {
            accepted.ticket.changes.contains_key(&overlap.object)
        };
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

/// Adds the places in the document to the problems of a refused submission.
#[must_use]
pub fn add_places(error: CtlError, document: &Document) -> CtlError {
    check::add_places(error, document)
}
