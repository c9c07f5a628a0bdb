//! Deadlines, admission, retries, idempotency, quarantine and drain of requests.
//!
//! # Crate guide
//!
//! - [`home`]: at most once, by a table of idempotency keys at the home that the client names.
//! - [`admission`]: the queue in which requests wait for a slot.
//! - [`connection`]: which failures of a connection count against a backend server.
//! - [`drain`]: the life cycle of a backend server, from its cold start to its drain.
//! - [`shutdown`]: the planned stop of an entry instance.
//! - [`exchange`]: the life cycle of one request, in types that make an untrue *not run* impossible.
//! - [`deadline`]: deadlines, which travel as the time left.
//! - [`fingerprint`]: what makes two requests the same request.
//! - [`outcome`]: the three final answers, and the proof that *not run* needs.
//! - [`model`]: clients, instances and backend servers that fail, for randomised runs.
//! - [`quarantine`]: requests that crash what runs them.
//! - [`refusal`]: every reason for which a request is answered without a backend server's answer.
//! - [`retry`]: why, whether and when a try on one backend server is followed by another.
//!
//! All of it is decision code: events and a time go in, actions come out. It reads no clock, draws
//! from no global random source and does no I/O.

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
