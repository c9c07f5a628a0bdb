//! The error of parsing an object's name.
//!
//! ```
//! use damaskvane_config::object;
//!
//! let error = "rider-desk".parse::<object::ObjectId>().expect_err("no kind");
//! assert!(error.to_string().contains("kind/name"));
//! ```

/// Why a text names no object.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum ParseObjectError {
    /// {0:?} names no object; write kind/name, for instance service/rider-desk
    Form(String),
    /// {0:?} is no kind of object; use one of {1}
    Kind(String, &'static str),
    /// {0:?} is no name; use 1 to 64 characters out of a-z, 0-9, '-', '_' and '.'
    Name(String),
}
