//! The typed state of each kind of object.
//!
//! Each field is a key in TOML. Chunks written by a newer program may hold further keys, which are
//! ignored on decoding, so that instances with different program versions apply the same head.
//!
//! ```
//! use damaskvane_config::declaration;
//!
//! let service = declaration::Service::default();
//! assert_eq!(service.lookup_ttl_ms.get(), 2_000);
//! ```

mod any;
mod backend_server;
mod block_names;
mod client_blocks;
mod link;
mod service;
mod shift;
mod zone;

pub use any::Declaration;
pub use backend_server::BackendServer;
pub use block_names::BlockNames;
pub use client_blocks::{BlockRange, ClientBlocks};
pub use link::Link;
pub use service::{Policy, Service};
pub use shift::Shift;
pub use zone::{AvailabilityZone, Region, Site};
