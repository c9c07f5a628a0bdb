//! Marker types for the life cycle states of a backend server.
//!
//! ```
//! use damaskvane_dispatch::drain;
//!
//! fn takes_work(_server: &drain::Server<drain::Active>) {}
//! ```

/// The server has just started; its caches are empty, so its share of requests grows gradually.
#[derive(Debug, Clone, Copy)]
pub struct Cold;

/// The server receives its full share of requests.
#[derive(Debug, Clone, Copy)]
pub struct Active;

/// The server receives no new requests; running requests finish.
#[derive(Debug, Clone, Copy)]
pub struct Draining;

/// No request runs on the server.
#[derive(Debug, Clone, Copy)]
pub struct Drained;
