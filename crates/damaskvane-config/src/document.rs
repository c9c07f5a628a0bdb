//! Declarations as operators write them, in TOML: `[service.rider-desk]`.
//!
//! A document holds the complete new state of each object that it names and leaves all others
//! unchanged. The key `delete` lists objects to be deleted.
//!
//! ```
//! use damaskvane_config::document;
//!
//! let problems = document::Document::parse("a.toml", "[servce.x]").expect_err("misspelt");
//! assert!(problems[0].remedy.contains("\"service\""));
//! assert_eq!(problems[0].place.as_ref().map(|place| place.line), Some(1));
//! ```

mod nearest;
mod places;
mod reader;

use crate::declaration::Declaration;
use crate::object::ObjectId;
use crate::problem::Problem;
use crate::ticket;

pub use nearest::nearest;
pub use places::Places;

/// The declarations of one file or of several files.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Document {
    changes: ticket::Changes,
    places: Places,
    text: String,
}

impl Document {
    /// Parses the text of one file; `file` names it in problems.
    ///
    /// # Errors
    ///
    /// Returns all problems in the file, each with its location and remedy.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Problem>> {
        reader::Reader::new(file, text).read()
    }

    /// Parses several files, given as pairs of name and text, into one document.
    ///
    /// # Errors
    ///
    /// Returns all problems in the files, and one for each object that two files declare.
    pub fn parse_all<'a>(
        files: impl IntoIterator<Item = (&'a str, &'a str)>,
    ) -> Result<Self, Vec<Problem>> {
        let mut merged = Self::default();
        let mut problems = Vec::new();
        for (file, text) in files {
            match Self::parse(file, text) {
                Ok(document) => problems.extend(merged.merge(document)),
                Err(found) => problems.extend(found),
            }
        }
        if problems.is_empty() {
            Ok(merged)
        } else {
            Err(problems)
        }
    }

    /// Returns each object with its new state, or `None` if it is to be deleted.
    pub fn changes(&self) -> impl Iterator<Item = (&ObjectId, &Option<Declaration>)> {
        self.changes.iter()
    }

    /// Returns the new states, to be submitted in a ticket.
    #[must_use]
    pub fn to_changes(&self) -> ticket::Changes {
        self.changes.clone()
    }

    /// Returns the text of the files, to be submitted in a ticket.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Adds to each problem the location of its key or object, if this document contains the key or
    /// object.
    #[must_use]
    pub fn locate(&self, problems: Vec<Problem>) -> Vec<Problem> {
        problems
            .into_iter()
            .map(|problem| self.places.locate(problem))
            .collect()
    }

    fn merge(&mut self, other: Self) -> Vec<Problem> {
        let mut problems = Vec::new();
        for (object, state) in other.changes {
            if self.changes.insert(object.clone(), state).is_some() {
                let problem =
                    Problem::new("is declared in two files", "keep one of the declarations");
                problems.push(other.places.locate(problem.of(&object)));
            }
        }
        self.places.extend(other.places);
        self.text.push_str(&other.text);
        problems
    }
}
