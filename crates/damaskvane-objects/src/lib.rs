//! Client of the platform's object API: versions, conditional writes, watches and writes whose
//! effect is unknown.
//!
//! # Crate guide
//!
//! - [`api`]: the trait of the object API, with its typed results.
//! - [`http`]: the implementation over HTTP.
//! - [`mod@write`]: a write that, after a lost response, reads the object to compare write ids.
//! - [`backoff`]: exponential backoff with jitter.
//! - [`budget`]: a limit on the rate of calls; a waiting watch counts as one call.
//! - [`credential`]: access tokens, hidden from debug output.
//!
//! ```
//! use damaskvane_objects::api;
//!
//! let key: api::ObjectKey = api::ObjectKey::new("head", "config");
//! assert_eq!(key.to_string(), "head/config");
//! ```

pub mod api;
pub mod backoff;
pub mod budget;
pub mod credential;
pub mod http;
pub mod write;
