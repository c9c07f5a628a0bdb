//! The object API as a trait, with results that tell what is known.
//!
//! ```
//! use damaskvane_objects::api;
//!
//! assert_eq!(api::ObjectVersion::ABSENT.to_string(), "0");
//! ```

mod instance;
mod object;
mod read;
mod version;
mod write;

pub use instance::InstanceRecord;
pub use object::{Listed, Listing, Object, ObjectKey};
pub use read::ReadError;
pub use version::{ObjectVersion, Revision};
pub use write::{NotAppliedReason, UnknownReason, WriteId, WriteResult};

use damaskvane_core::time;

/// The platform's object API.
///
/// Every call ends within the implementation's deadline; none is retried behind the caller's back.
pub trait ObjectApi {
    /// Reads an object; `None` where it is absent.
    ///
    /// # Errors
    ///
    /// When no answer or a refusal came.
    fn get(&self, key: &ObjectKey) -> Result<Option<Object>, ReadError>;

    /// Writes an object if it has the given version; [`ObjectVersion::ABSENT`] if it must not exist.
    fn put_if(
        &self,
        key: &ObjectKey,
        if_version: ObjectVersion,
        value: &[u8],
        write_id: &WriteId,
    ) -> WriteResult;

    /// Deletes an object if it has the given version.
    fn delete_if(
        &self,
        key: &ObjectKey,
        if_version: ObjectVersion,
        write_id: &WriteId,
    ) -> WriteResult;

    /// The objects of a kind without their values.
    ///
    /// # Errors
    ///
    /// When no answer or a refusal came.
    fn list(&self, kind: &str) -> Result<Listing, ReadError>;

    /// Waits until the revision of a kind passes `after`, at most `wait`, then lists it.
    ///
    /// # Errors
    ///
    /// When no answer or a refusal came; a watch that went silent ends with a time-out.
    fn watch(&self, kind: &str, after: Revision, wait: time::SpanMs) -> Result<Listing, ReadError>;

    /// The platform's lagging list of instances.
    ///
    /// # Errors
    ///
    /// When no answer or a refusal came.
    fn instances(&self) -> Result<Vec<InstanceRecord>, ReadError>;

    /// Whom the credential of these calls names.
    ///
    /// # Errors
    ///
    /// When no answer or a refusal came.
    fn token_holder(&self) -> Result<String, ReadError>;
}
