//! Deadlines, admission, retries, idempotency, quarantine and drain of requests.
//!
//! # Crate guide
//!
//! - [`home`]: at-most-once dispatch by a table of idempotency keys at each key's home instance. By a key, a
//!   client names one request across its attempts.
//! - [`admission`]: the queue in which requests wait for a slot, the right to run one request on a server.
//! - [`connection`]: the failures of a connection that count against a backend server.
//! - [`drain`]: the life cycle of a backend server, from its cold start to its drain.
//! - [`shutdown`]: the planned stop of an entry instance.
//! - [`exchange`]: the life cycle of one request, in types that make a false *not run* impossible.
//! - [`deadline`]: deadlines, sent between processes as the remaining time.
//! - [`fingerprint`]: a hash that identifies repeats of the same request.
//! - [`outcome`]: the three final outcomes, and the proof that *not run* needs.
//! - [`model`]: clients, instances and backend servers that fail, for randomised runs.
//! - [`quarantine`]: the refusal of requests that crash the backend servers that run them.
//! - [`refusal`]: the reasons for a response that comes from the entry instance alone.
//! - [`retry`]: whether, when and why an attempt on one backend server is followed by another.
//!
//! The whole crate is decision code: events and the current time go in, actions come out. The crate
//! reads no clock, draws from no global random source and does no I/O.

pub mod admission;
pub mod connection;
pub mod deadline;
pub mod drain;
pub mod exchange;
pub mod fingerprint;
pub mod home;
pub mod model;
pub mod outcome;
pub mod quarantine;
pub mod refusal;
pub mod retry;
pub mod shutdown;
