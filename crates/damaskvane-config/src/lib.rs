//! Declarations, tickets and the head that puts them in force; no I/O and no clock.
//!
//! # Crate guide
//!
//! - [`declaration`]: the typed state of one object, for instance of a service or a backend server.
//! - [`object`]: names of objects (`service/rider-desk`).
//! - [`chunk`]: the canonical bytes of an object, stored under their hash.
//! - [`manifest`]: the one head object that names every chunk of a version.
//! - [`ticket`]: a numbered change with its author, its reason and the whole new state.
//! - [`document`]: declarations as operators write them, in TOML.
//! - [`state`]: everything in force at one version, and how it is assembled from chunks.
//! - [`submit`]: how a ticket gets into the store, step by step.
//! - [`apply`]: how an instance takes a head into force, from whatever source, never backwards.
//! - [`relay`]: who watches the store and who tells whom.
//! - [`problem`]: what is wrong with a declaration, where, and the remedy.
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
