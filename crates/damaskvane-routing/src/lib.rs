//! Routing decisions of an entry instance: the servers that may run a request, the server selected, and rejections.
//!
//! Callers pass in events and the current time, and receive decisions. The crate reads no clock, uses no global
//! random source and does no I/O, so that the program and the tests run the same code.
//!
//! # Crate guide
//!
//! - [`configuration`]: routes, services and limits on requests, as the operators declare them.
//! - [`split`]: distributes the requests of a route among services by weight.
//! - [`pool`]: the known backend servers, with the state that this instance has observed.
//! - [`placement`]: selects the backend server of a request, or the reason to reject the request.
//! - [`limit`]: limits that hold over all instances without coordination between them.
//! - [`retry`]: decides after an exchange with a backend server whether another server is tried.
//! - [`relay`]: a log of store changes that instances of a zone relay to each other.
//! - [`peers`]: the entry instances that are alive, and the instances that a lookup returns.
//!
//! ```
//! use damaskvane_routing::configuration;
//!
//! assert!(configuration::RouteKind::Idempotent.may_run_again());
//! ```

pub mod configuration;
pub mod limit;
pub mod peers;
pub mod placement;
pub mod pool;
pub mod relay;
pub mod retry;
pub mod split;
