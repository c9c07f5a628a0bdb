//! The request engine of an entry instance: events and a time in, actions out, no I/O.
//!
//! # Crate guide
//!
//! - [`message`]: what clients send and backend servers answer.
//! - [`directory`]: what the engine knows of its surroundings.
//! - [`event`]: what it is told, and what it wants done.
//! - [`peer`]: what engines say to each other.
//! - [`engine`]: the engine itself.

pub mod directory;
pub mod engine;
pub mod event;
pub mod message;
pub mod peer;
