//! Names of configuration objects.
//!
//! ```
//! use damaskvane_config::object;
//!
//! let id: object::ObjectId = "service/rider-desk".parse()?;
//! assert_eq!(id.kind(), object::ObjectKind::Service);
//! # Ok::<(), object::ParseObjectError>(())
//! ```

mod error;
mod id;
mod kind;
mod name;

pub use error::ParseObjectError;
pub use id::ObjectId;
pub use kind::ObjectKind;
pub use name::ObjectName;
