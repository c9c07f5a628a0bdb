//! What ends a command, with its exit code.
//!
//! | code | meaning |
//! |---|---|
//! | 0 | done |
//! | 1 | the platform, a file or an instance could not be used |
//! | 2 | wrong usage |
//! | 3 | the declarations are not valid |
//! | 4 | objects changed since the ticket was written |
//! | 5 | it is not known whether the ticket is accepted |
//!
//! ```
//! use damaskvane_ctl::error;
//!
//! assert_eq!(error::CtlError::Usage("x".into()).exit_code(), 2);
//! ```

use damaskvane_config::problem::Problem;
use damaskvane_core::ids;
use damaskvane_objects::api;

use crate::ask::AskError;
use crate::command::ChangedObject;

/// What ends a command.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum CtlError {
    /// {0}; damaskvane-ctl --help lists the commands and options
    Usage(String),
    /// {path}: {error}; check the path and its permissions
    File {
        /// The file.
        path: String,
        /// What the system says.
        error: std::io::Error,
    },
    /// {0}
    Read(#[from] api::ReadError),
    /// {0}
    Ask(#[from] AskError),
    /// there is no configuration yet; submit a first ticket
    NoHead,
    /// there is no ticket {0}; damaskvane-ctl history lists them
    NoTicket(ids::TicketNumber),
    /// there is no {0}; damaskvane-ctl show lists the objects in force
    NoObject(String),
    /// what the platform holds is broken ({0}); submit the object again, from version control or an export
    Broken(String),
    /// the declarations are not valid:
    Invalid(Vec<Problem>),
    /// objects changed since the ticket was written; read them, then submit again:
    Changed(Vec<ChangedObject>),
    /// not accepted: {0}
    NotAccepted(String),
    /// not known whether the ticket is accepted ({reason}); look for the write {write_id} in damaskvane-ctl history before submitting again
    Unknown {
        /// What went wrong last.
        reason: String,
        /// The identity of the submission.
        write_id: String,
    },
}

impl CtlError {
    /// The exit code.
    #[must_use]
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => 2,
            Self::Invalid(_) => 3,
            Self::Changed(_) => 4,
            Self::Unknown { .. } => 5,
            _ => 1,
        }
    }

    /// The lines below the message: one for each problem or changed object.
    #[must_use]
    pub fn details(&self) -> Vec<String> {
        match self {
            Self::Invalid(problems) => problems.iter().map(ToString::to_string).collect(),
            Self::Changed(objects) => objects.iter().map(ToString::to_string).collect(),
            _ => Vec::new(),
        }
    }

    /// The error as JSON.
    #[must_use]
    pub fn to_json(&self) -> serde_json::Value {
        let details = match self {
            Self::Invalid(problems) => serde_json::json!(problems),
            Self::Changed(objects) => serde_json::json!(objects),
            _ => serde_json::json!([]),
        };
        serde_json::json!({
            "error": self.to_string(),
            "exit_code": self.exit_code(),
            "details": details,
        })
    }
}
