//! Calls on the platform's object API, on threads of their own.
//!
//! A call may take seconds while the platform is slow or down. The control thread never waits for one:
//! it sends a [`StoreJob`] and later receives a [`StoreReport`].
//!
//! ```
//! use damaskvane_entry::store;
//!
//! let job = store::StoreJob::ReadHead;
//! assert!(format!("{job:?}").contains("ReadHead"));
//! ```

mod job;
mod worker;

pub use job::{Call, FenceOutcome, StoreJob, StoreReport};
pub use worker::Store;
