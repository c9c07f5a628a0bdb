//! The real programs, started on free loopback ports for one deployment.
//!
//! A cluster owns its processes and a directory of settings, declarations and logs; dropping it ends
//! them all by their ids and removes the directory.
//!
//! ```
//! use damaskvane_bench::cluster;
//!
//! let deployment = cluster::Deployment::prairie();
//! assert_eq!(deployment.zones().count(), 6);
//! ```

mod admin;
pub mod children;
pub mod command;
mod declarations;
mod deployment;
mod entry;
mod process;
mod programs;
mod running;
mod status;
mod watch;

pub use admin::{BackendAdmin, PlatformAdmin};
pub use declarations::Declarations;
pub use deployment::{Deployment, Placement, Service, Zone};
pub use entry::Entry;
pub use process::{Process, Signal};
pub use programs::Programs;
pub use running::Cluster;
pub use status::{EntryStatus, Traffic};
pub use watch::{Acceptance, HeadWatch};
