//! Deadlines, admission, retries, idempotency, quarantine and drain of requests.
//!
//! # Crate guide
//!
//! - [`outcome`]: the three final answers, and the proof that *not run* needs.
//! - [`refusal`]: every reason for which a request is answered without a backend server's answer.
//! - [`retry`]: why a try on one backend server is followed by another.
//!
//! All of it is decision code: events and a time go in, actions come out. It reads no clock, draws
//! from no global random source and does no I/O.

pub mod outcome;
pub mod refusal;
pub mod retry;
