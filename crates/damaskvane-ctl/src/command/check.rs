//! `check`: validates declarations, alone or together with the accepted configuration.

use core::fmt;

use damaskvane_config::document::Document;
use damaskvane_config::ticket::Draft;
use damaskvane_core::ids;
use serde::Serialize;

use crate::error::CtlError;
use crate::store::Accepted;

/// Result of a successful check.
#[derive(Debug, Clone, Serialize)]
pub struct CheckReport {
    /// Number of declared and deleted objects.
    pub objects: usize,
    /// Accepted version that the declarations were applied to; `None` if they were checked alone.
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

/// Validates declarations applied to the accepted configuration, or alone if `accepted` is `None`.
///
/// # Errors
///
/// Fails with every problem and its place in the files if the declarations are invalid.
pub fn check(document: &Document, accepted: Option<&Accepted>) -> Result<CheckReport, CtlError> {
    let draft = Draft {
        changes: document.to_changes(),
        ..Draft::default()
    };
    let alone = Accepted::default();
    accepted
        .unwrap_or(&alone)
        .state_with(&draft)
        .map_err(|error| add_places(error, document))?;
    Ok(CheckReport {
        objects: document.changes().count(),
        against_version: accepted.map(|accepted| accepted.head.version),
    })
}

/// Adds the places in the document to the problems of an error.
pub(super) fn add_places(error: CtlError, document: &Document) -> CtlError {
    match error {
        CtlError::Invalid(problems) => CtlError::Invalid(document.locate(problems)),
        other => other,
    }
}
