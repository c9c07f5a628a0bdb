//! Errors of the commands and their exit codes.
//!
//! | code | meaning |
//! |---|---|
//! | 0 | success |
//! | 1 | the platform, a file or an instance could not be used |
//! | 2 | the command line is invalid |
//! | 3 | the declarations are invalid |
//! | 4 | objects changed since the base version of the ticket |
//! | 5 | whether the ticket was accepted is unknown |
//!
//! ```
//! use damaskvane_ctl::error;
//!
//! assert_eq!(error::CtlError::Usage("x".into()).exit_code(), 2);
//! ```

use damaskvane_config::problem::Problem;
use damaskvane_core::ids;
use damaskvane_objects::api;

use crate::command::ChangedObject;
use crate::fetch::FetchError;

/// Error that ends a command.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum CtlError {
    /// {0}
    Usage(String),
    /// {path}: {error}; check the path and its permissions
    File {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// {0}
    Read(#[from] api::ReadError),
    /// {0}
    Fetch(#[from] FetchError),
    /// no configuration exists yet; submit a first ticket with damaskvane-ctl submit
    NoConfiguration,
    /// no ticket {0} exists; list the accepted tickets with damaskvane-ctl history
    NoTicket(ids::TicketNumber),
    /// no object {0} exists; list the accepted objects with damaskvane-ctl show
    NoObject(String),
    /// invalid data: {0}
    InvalidData(String),
    /// the declarations are invalid; correct these problems:
    Invalid(Vec<Problem>),
    /// objects changed since the base version of the ticket; review these changes, then submit again:
    Changed(Vec<ChangedObject>),
    /// the ticket was not accepted: {0}
    NotAccepted(String),
    /// unknown whether the ticket was accepted ({reason}); look for write {write_id} in damaskvane-ctl history before you submit again
    Unknown {
        /// Last failure of a call to the platform.
        reason: String,
        /// Identifier of the submission, as listed by the `history` command.
        write_id: String,
    },
}

impl CtlError {
    /// Returns the exit code of the program for this error.
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

    /// Returns one line for each invalid declaration or changed object, to print below the message.
    #[must_use]
    pub fn details(&self) -> Vec<String> {
        match self {
            Self::Invalid(problems) => problems.iter().map(ToString::to_string).collect(),
            Self::Changed(objects) => objects.iter().map(ToString::to_string).collect(),
            _ => Vec::new(),
        }
    }

    /// Returns the error, its exit code and its details as JSON.
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
