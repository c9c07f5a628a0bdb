//! Errors in a configuration, with their location and remedy.
//!
//! ```
//! use damaskvane_config::problem;
//!
//! let problem = problem::Problem::new("no zone \"x\"", "declare it");
//! assert_eq!(problem.to_string(), "no zone \"x\"; declare it");
//! ```

use core::fmt;

use serde::Serialize;

use crate::object::ObjectId;

/// A location in a file of declarations; lines and columns count from 1.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Place {
    /// The name of the file as the operator gave it.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// One error in a configuration, with its remedy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// The location in a file; `None` if unknown, as for objects from the store.
    pub place: Option<Place>,
    /// The object that the error concerns, if it concerns one.
    pub object: Option<ObjectId>,
    /// The key that the error concerns, if it concerns one.
    pub key: Option<String>,
    /// The error, for operators.
    pub message: String,
    /// What the operator can do about the error.
    pub remedy: String,
}

impl Problem {
    /// Returns a problem without a location, an object or a key.
    #[must_use]
    pub fn new(message: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self {
            place: None,
            object: None,
            key: None,
            message: message.into(),
            remedy: remedy.into(),
        }
    }

    /// Sets the object that the problem concerns.
    #[must_use]
    pub fn of(mut self, object: &ObjectId) -> Self {
        self.object = Some(object.clone());
        self
    }

    /// Sets the key that the problem concerns.
    #[must_use]
    pub fn key(mut self, key: impl Into<String>) -> Self {
        self.key = Some(key.into());
        self
    }

    /// Sets the location of the problem; `None` removes it.
    #[must_use]
    pub fn at(mut self, place: Option<Place>) -> Self {
        self.place = place;
        self
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(place) = &self.place {
            write!(f, "{place}: ")?;
        }
        if let Some(object) = &self.object {
            write!(f, "{object}: ")?;
        }
        if let Some(key) = &self.key {
            write!(f, "{key}: ")?;
        }
        write!(f, "{}; {}", self.message, self.remedy)
    }
}
