//! The request engine of an entry instance, a state machine without I/O: it takes events with the current time
//! and returns actions, which its driver carries out.
//!
//! # Crate guide
//!
//! - [`message`]: requests of clients and responses of backend servers.
//! - [`directory`]: the services, backend servers and other instances that the engine uses.
//! - [`event`]: the events that the engine handles and the actions that it returns.
//! - [`peer`]: the messages between the engines of entry instances.
//! - [`engine`]: the engine, its settings, and the load that it reports.

pub mod directory;
pub mod engine;
pub mod event;
pub mod message;
pub mod peer;
