//! The error of parsing the name of an object.
//!
//! ```
//! use damaskvane_config::object;
//!
//! let error = "rider-desk".parse::<object::ObjectId>().expect_err("no kind");
//! assert!(error.to_string().contains("kind/name"));
//! ```

/// The error of parsing the full name, the kind or the name of an object.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum ParseObjectError {
    /// {0:?} is not the full name of an object; write kind/name, for instance service/rider-desk
    Form(String),
    /// {0:?} is no kind of object; use one of {1}
    Kind(String, &'static str),
    /// {0:?} is not a valid name; use 1 to 64 characters out of a-z, 0-9, '-', '_' and '.'
    Name(String),
}
