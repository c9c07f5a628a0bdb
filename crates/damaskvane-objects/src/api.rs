//! The object API as a trait, with results that separate a failed write from an unknown one.
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
pub use object::{ListedObject, Listing, Object, ObjectKey};
pub use read::ReadError;
pub use version::{ObjectVersion, Revision};
pub use write::{NotAppliedReason, UnknownReason, WriteId, WriteResult};

use damaskvane_core::time;

/// The platform's object API.
///
/// Every call ends within the timeout of the implementation. The implementation retries no call.
pub trait ObjectApi {
    /// Reads an object; returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns a [`ReadError`] if no valid response was received or the call was refused.
    fn get(&self, key: &ObjectKey) -> Result<Option<Object>, ReadError>;

    /// Writes an object if its version is `if_version`; [`ObjectVersion::ABSENT`] means that it must not
    /// exist.
    fn put_if(
        &self,
        key: &ObjectKey,
        if_version: ObjectVersion,
        value: &[u8],
        write_id: &WriteId,
    ) -> WriteResult;

    /// Deletes an object if its version is `if_version`.
    fn delete_if(
        &self,
        key: &ObjectKey,
        if_version: ObjectVersion,
        write_id: &WriteId,
    ) -> WriteResult;

    /// Lists the objects of a kind without their values.
    ///
    /// # Errors
    ///
    /// Returns a [`ReadError`] if no valid response was received or the call was refused.
    fn list(&self, kind: &str) -> Result<Listing, ReadError>;

    /// Waits at most `wait` until the revision of a kind exceeds `after`, then lists the kind.
    ///
    /// # Errors
    ///
    /// Returns a [`ReadError`] if no valid response was received or the call was refused. A watch
    /// without a response ends with a timeout.
    fn watch(&self, kind: &str, after: Revision, wait: time::SpanMs) -> Result<Listing, ReadError>;

    /// Returns the platform's list of instances, which lags behind the instance records.
    ///
    /// # Errors
    ///
    /// Returns a [`ReadError`] if no valid response was received or the call was refused.
    fn instances(&self) -> Result<Vec<InstanceRecord>, ReadError>;

    /// Returns the name of the token's holder, an operator or an instance.
    ///
    /// # Errors
    ///
    /// Returns a [`ReadError`] if no valid response was received or the call was refused.
    fn token_holder(&self) -> Result<String, ReadError>;
}
