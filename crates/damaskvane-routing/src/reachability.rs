//! Whether this instance itself reaches the backend servers, and which other instances carry its connections if not.
//!
//! From inside, servers that died and a network partition between this instance and the servers look alike: connections
//! hang, are refused or are reset. What another instance sees of the same servers tells them apart. A tunnel is a
//! connection to a server that another instance opens and whose bytes it copies unread, so that every decision about a
//! request stays with the instance that received it.
//!
//! ```
//! use damaskvane_core::time::TimeMs;
//! use damaskvane_routing::reachability::{self, ConnectFailure, Reach};
//!
//! let mut reach = reachability::Reachability::new(reachability::ReachabilitySettings::default());
//! for server in ["desk-1", "desk-2"] {
//!     reach.record_open_failed(TimeMs::new(10), &server.parse()?, ConnectFailure::Refused);
//! }
//! assert_eq!(reach.reach(), Reach::Doubtful);
//! reach.record_opened_by_peer(TimeMs::new(30), &"desk-1".parse()?);
//! assert_eq!(reach.reach(), Reach::Partitioned);
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

mod admission;
mod check;
mod failure;
mod settings;
mod state;
mod tunnel_peers;

pub use admission::{Carrier, TunnelRefusal};
pub use check::Check;
pub use failure::ConnectFailure;
pub use settings::ReachabilitySettings;
pub use state::{Reach, Reachability};
pub use tunnel_peers::{TunnelPeers, TunnelWish};
