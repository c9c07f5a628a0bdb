//! Clients' connections, and the handling of their requests from the first byte to the response.

mod authorization;
mod body;
mod caller;
mod dispatch;
mod head;
mod head_timer;
mod listener;
mod pending;
mod pipeline;
mod reply;
mod reset;
mod routed_request;
mod send_right;
mod startup;
mod unserved;

pub(crate) use send_right::{SendRight, Withheld, may_serve_keys};

pub use listener::{ListenerKind, listen};
