//! The message type of the engine's inbox.
//!
//! The engine is the state machine that selects a backend server for each request; it runs on its own thread.
//!
//! ```
//! use damaskvane_engine::event;
//! use damaskvane_entry::inbox;
//!
//! let input = inbox::Input::from(event::Event::Leave);
//! assert!(format!("{input:?}").contains("Leave"));
//! ```

use std::sync::Arc;

use damaskvane_dispatch::outcome;
use damaskvane_engine::{event, message};

/// Sender of a request's outcome to the handler of the client's connection.
pub type Reply = flume::Sender<outcome::Outcome<Arc<message::BackendResponse>>>;

/// Message to the engine's thread.
#[derive(Debug)]
pub enum Input {
    /// New request of a client.
    Submit {
        /// Number of the request, unique in this process.
        number: event::RequestNumber,
        /// Contents of the request.
        request: Box<message::ServiceRequest>,
        /// Sender of the request's outcome.
        reply: Reply,
    },
    /// Any other event for the engine.
    Event(event::Event),
    /// End the engine's thread.
    Stop,
}

impl From<event::Event> for Input {
    fn from(event: event::Event) -> Self {
        Self::Event(event)
    }
}
