//! Submits a ticket to the store, step by step and without I/O.
//!
//! The next step follows from what earlier responses have shown of the store. A ticket is accepted
//! by one conditional update of the head, the stored list of all objects of a version. Before this
//! update, in this order, the ticket of the current head is filed, that is, stored under its
//! number, and the new chunks and the new ticket are stored under their hashes.
//!
//! ```
//! use damaskvane_config::{submit, ticket};
//!
//! let mut submission = submit::Submission::new(ticket::Draft::default());
//! assert_eq!(submission.next_step(), submit::Step::Call(submit::Call::ReadHead));
//! ```

mod call;
mod outcome;
mod submission;

pub use call::{Call, StoreResponse};
pub use outcome::{Outcome, Step};
pub use submission::Submission;
