//! How a ticket gets into the store, step by step and without I/O.
//!
//! What to do next follows from what is known of the store; each answer adds to that knowledge.
//! A ticket is accepted by one conditional update of the head. Before it, in this order, the
//! head's own ticket is filed under its number, and the new chunks and the new ticket are stored
//! under their hashes.
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
