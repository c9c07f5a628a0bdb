//! The states of a backend server.
//!
//! ```
//! use damaskvane_dispatch::drain;
//!
//! fn takes_work(_server: &drain::Server<drain::Active>) {}
//! ```

/// Just started: its caches are empty, so that its share grows step by step.
#[derive(Debug, Clone, Copy)]
pub struct Cold;

/// Takes its whole share of work.
#[derive(Debug, Clone, Copy)]
pub struct Active;

/// Takes no new work; what runs is let finish.
#[derive(Debug, Clone, Copy)]
pub struct Draining;

/// Nothing runs on it.
#[derive(Debug, Clone, Copy)]
pub struct Drained;
