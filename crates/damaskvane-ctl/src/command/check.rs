//! `check`: whether declarations are valid, alone or on top of what is accepted.

use core::fmt;

use damaskvane_config::document::Document;
use damaskvane_config::ticket::Draft;
use damaskvane_core::ids;
use serde::Serialize;

use crate::error::CtlError;
use crate::store::Accepted;

/// What was checked.
#[derive(Debug, Clone, Serialize)]
pub struct CheckReport {
    /// How many objects are declared.
    pub objects: usize,
    /// The version they were checked on top of; `None` if alone.
    pub against_version: Option<ids::ConfigVersion>,
}

impl fmt::Display for CheckReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.against_version {
            Some(version) => write!(f, "{} objects, valid on version {version}", self.objects),
            None => write!(f, "{} objects, valid by themselves", self.objects),
        }
    }
}

/// Validates declarations on top of what is accepted, or alone without it.
///
/// # Errors
///
/// Every problem with its place.
pub fn check(document: &Document, accepted: Option<&Accepted>) -> Result<CheckReport, CtlError> {
    let draft = Draft {
        changes: document.to_changes(),
        ..Draft::default()
    };
    let alone = Accepted::default();
    accepted
        .unwrap_or(&alone)
        .state_with(&draft)
        .map_err(|error| located(error, document))?;
    Ok(CheckReport {
        objects: document.changes().count(),
        against_version: accepted.map(|accepted| accepted.head.version),
    })
}

/// Adds the places of the document to the problems of an error.
pub(super) fn located(error: CtlError, document: &Document) -> CtlError {
    match error {
        CtlError::Invalid(problems) => CtlError::Invalid(document.locate(problems)),
        other => other,
    }
}
