//! Tunnels: connections to backend servers that another instance opens, and whose bytes it copies unread.
//!
//! An instance that is partitioned from the servers sends its requests through tunnels. Every decision on a request stays
//! with the instance that received it; the one that carries the tunnel decides only whether the server may be reached at
//! all. A tunnel ends at a server, never at a third instance.

mod carry;
mod copy;
mod error;
mod message;
mod open;
mod path;

pub(crate) use carry::{CarriedTunnels, carry};
pub use error::TunnelError;
pub(crate) use message::MAGIC;
pub use open::{Endpoint, open};
pub use path::{Path, Peer};
