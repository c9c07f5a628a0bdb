//! Declarations, tickets and the head (the stored list of a version's objects) that makes them
//! active; no I/O and no clock.
//!
//! # Crate guide
//!
//! - [`declaration`]: the typed state of one object, for instance of a service or a backend server.
//! - [`object`]: names of objects, for instance `service/rider-desk`.
//! - [`chunk`]: the canonical bytes of an object, stored under their hash.
//! - [`manifest`]: the head, the stored object that lists the chunks of a version.
//! - [`ticket`]: a numbered change with its author, its reason and the complete new state of each
//!   object that it changes.
//! - [`document`]: declarations as operators write them, in TOML.
//! - [`state`]: all declarations of one version, assembled from chunks and validated.
//! - [`submit`]: the submission of a ticket to the store, step by step.
//! - [`apply`]: switches an instance to newer heads, from any source, and never back.
//! - [`relay`]: watches the store and spreads new heads among the instances.
//! - [`problem`]: an error in a declaration, with its location and the remedy.
//!
//! ```
//! use damaskvane_config::document;
//!
//! let text = "[region.sask]\n[availability_zone.sask-a]\nregion = \"sask\"\n";
//! let document = document::Document::parse("zones.toml", text).expect("well formed");
//! assert_eq!(document.changes().count(), 2);
//! ```

pub mod apply;
pub mod chunk;
pub mod declaration;
pub mod document;
pub mod manifest;
pub mod object;
pub mod problem;
pub mod relay;
pub mod state;
pub mod submit;
pub mod ticket;
