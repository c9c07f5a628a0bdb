//! Routes, services and limits on requests, as the operators declare them.
//!
//! ```
//! use damaskvane_routing::configuration;
//!
//! let configuration = configuration::Configuration::default();
//! assert!(configuration.route("desk.example", "/look/1").is_none());
//! ```

mod limits;
mod region_set;
mod route;
mod service;
mod table;

pub use limits::Limits;
pub use region_set::RegionSet;
pub use route::{Destination, Route, RouteKind};
pub use service::Service;
pub use table::Configuration;
