//! Routing decisions of an entry instance: which backend servers may run a request, and which of them is selected.
//!
//! An entry instance is a process that takes clients' requests and sends each to a backend server. Callers of this
//! crate pass in events and the current time, and receive decisions. The crate reads no clock, uses no global random
//! source and does no I/O, so that the program and the tests run the same code.
//!
//! # Crate guide
//!
//! - [`configuration`]: routes, services and limits on requests, as the operators declare them.
//! - [`split`]: distributes the requests of a route among services by weight.
//! - [`pool`]: the known backend servers, with the state that this instance has observed.
//! - [`placement`]: selects the backend server of a request, or the reason to reject the request.
//! - [`limit`]: limits that hold over all instances without coordination between them.
//! - [`retry`]: decides whether a request is sent to another server after an exchange with a backend server.
//! - [`relay`]: a log of changes in the platform's store that instances of a zone relay to each other.
//! - [`teams`]: the teams to which API keys belong, and proof that the configuration is current.
//! - [`quota`]: quotas of teams that hold over all instances.
//! - [`reachability`]: whether this instance reaches the backend servers, and who carries its connections if not.
//! - [`peers`]: the entry instances that are alive, and those whose addresses a lookup returns to a client.
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
pub mod quota;
pub mod reachability;
pub mod relay;
pub mod retry;
mod seeded_hash;
pub mod split;
pub mod teams;
