//! Declarations as operators write them, in TOML: `[service.rider-desk]`.
//!
//! A document holds the whole new state of each object it names and leaves all others as they are.
//! The key `delete` lists objects that shall go.
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

/// One or several files of declarations.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Document {
    changes: ticket::Changes,
    places: Places,
    text: String,
}

impl Document {
    /// Reads one file.
    ///
    /// # Errors
    ///
    /// Everything that is wrong in it, each with its place and remedy.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Problem>> {
        reader::Reader::new(file, text).read()
    }

    /// Reads several files as one document.
    ///
    /// # Errors
    ///
    /// Everything that is wrong in any of them, and objects that two of them declare.
    pub fn parse_all<'a>(
        files: impl IntoIterator<Item = (&'a str, &'a str)>,
    ) -> Result<Self, Vec<Problem>> {
        let mut whole = Self::default();
        let mut problems = Vec::new();
        for (file, text) in files {
            match Self::parse(file, text) {
                Ok(document) => problems.extend(whole.merge(document)),
                Err(found) => problems.extend(found),
            }
        }
        if problems.is_empty() {
            Ok(whole)
        } else {
            Err(problems)
        }
    }

    /// Each object with its new state, `None` where it shall go.
    pub fn changes(&self) -> impl Iterator<Item = (&ObjectId, &Option<Declaration>)> {
        self.changes.iter()
    }

    /// The new states, for a ticket.
    #[must_use]
    pub fn to_changes(&self) -> ticket::Changes {
        self.changes.clone()
    }

    /// The files' text, for a ticket.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Adds to each problem the place of the object and key it names, where this document has it.
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
