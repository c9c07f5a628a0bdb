//! Clients' connections, and the handling of their requests from the first byte to the response.

mod body;
mod dispatch;
mod head;
mod head_timer;
mod listener;
mod pending;
mod reply;
mod routed_request;

pub use listener::{ListenerKind, listen};
