//! Deadlines, admission, retries, idempotency, quarantine and drain of requests.
//!
//! # Crate guide
//!
//! - [`home`]: at most once, by a table of idempotency keys at the home that the client names.
//! - [`exchange`]: the life cycle of one request, in types that make an untrue *not run* impossible.
//! - [`deadline`]: deadlines, which travel as the time left.
//! - [`fingerprint`]: what makes two requests the same request.
//! - [`outcome`]: the three final answers, and the proof that *not run* needs.
//! - [`refusal`]: every reason for which a request is answered without a backend server's answer.
//! - [`retry`]: why, whether and when a try on one backend server is followed by another.
//!
//! All of it is decision code: events and a time go in, actions come out. It reads no clock, draws
//! from no global random source and does no I/O.

pub mod deadline;
pub mod exchange;
pub mod fingerprint;
pub mod home;
pub mod outcome;
pub mod refusal;
pub mod retry;
