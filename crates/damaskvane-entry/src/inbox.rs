//! The messages that the engine's thread receives.
//!
//! ```
//! use damaskvane_engine::event;
//! use damaskvane_entry::inbox;
//!
//! let (sender, receiver) = flume::unbounded();
//! drop(inbox::ClientGuard::new(sender, inbox::RequestNumber::new(7)));
//! assert!(matches!(receiver.recv(), Ok(inbox::Input::Event(event::Event::ClientDisconnected { .. }))));
//! ```

mod client_guard;
mod input;

pub use client_guard::ClientGuard;
pub use damaskvane_engine::event::RequestNumber;
pub use input::{Input, Reply};
