//! What is wrong with a configuration, where, and what to do about it.
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

/// A place in a file of declarations; lines and columns count from 1.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Place {
    /// The file as named by the operator.
    pub file: String,
    /// The line.
    pub line: usize,
    /// The column in characters.
    pub column: usize,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// One thing that is wrong, with its remedy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Where it stands; `None` for what came out of the store.
    pub place: Option<Place>,
    /// The object it concerns.
    pub object: Option<ObjectId>,
    /// The key it concerns.
    pub key: Option<String>,
    /// What is wrong.
    pub message: String,
    /// What to do.
    pub remedy: String,
}

impl Problem {
    /// A problem of no known place.
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

    /// Names the object.
    #[must_use]
    pub fn of(mut self, object: &ObjectId) -> Self {
        self.object = Some(object.clone());
        self
    }

    /// Names the key.
    #[must_use]
    pub fn key(mut self, key: impl Into<String>) -> Self {
        self.key = Some(key.into());
        self
    }

    /// Names the place.
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
