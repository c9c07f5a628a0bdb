//! One message to the engine's thread.
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

/// Where a client's handler waits for its answer.
pub type Reply = flume::Sender<outcome::Outcome<Arc<message::BackendResponse>>>;

/// One message to the engine's thread.
#[derive(Debug)]
pub enum Input {
    /// A client's request, with where its answer goes.
    Submit {
        /// Its number.
        number: event::RequestNumber,
        /// The request.
        request: Box<message::ServiceRequest>,
        /// Where its answer goes.
        reply: Reply,
    },
    /// Whatever else the engine is told.
    Event(event::Event),
    /// The engine's thread ends.
    Stop,
}

impl From<event::Event> for Input {
    fn from(event: event::Event) -> Self {
        Self::Event(event)
    }
}
