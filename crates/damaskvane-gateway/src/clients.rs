//! Clients' connections, and the way of a request through the instance.

mod asked;
mod body;
mod dispatch;
mod head;
mod head_timer;
mod listener;
mod reply;
mod run;

pub use listener::{Service, listen};
