//! Decisions of an entry instance on each request: where it may go, where it goes, whether it goes.
//!
//! Events and a time go in, decisions come out. Nothing here reads a clock, draws from a global random
//! source or does I/O, so the program and the tests drive the same code.
//!
//! # Crate guide
//!
//! - [`configuration`]: routes, services and limits, as the operators declare them.
//! - [`split`]: turns the weights of a route into a sequence of services.
//! - [`pool`]: the backend servers that are known, and what each was seen to do.
//! - [`placement`]: which backend server a request goes to, or why it is refused.
//! - [`limit`]: shares of limits that all instances keep together without a message.
//! - [`retry`]: what follows an exchange with a backend server.
//! - [`relay`]: changes of the store that instances of a zone hand on.
//! - [`peers`]: which entry instances are alive, and which a look-up names.
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
