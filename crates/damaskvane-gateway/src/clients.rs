//! Clients' connections, and the way of a request through the instance.

mod body;
mod dispatch;
mod head;
mod head_timer;
mod listener;
mod pending;
mod reply;
mod run;

pub use listener::{ListenerKind, listen};
