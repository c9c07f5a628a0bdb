//! Calls to the platform's object API, made on separate threads.
//!
//! A call may take seconds while the platform is slow or down. The control thread never blocks on a call:
//! it submits a [`StoreJob`] and later receives a [`StoreReport`].
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
