//! Client of the platform's object API: versions, conditional writes, watches and doubt.
//!
//! # Crate guide
//!
//! - [`api`]: the trait that programs and fakes implement, with its typed results.
//! - [`http`]: the implementation over HTTP.
//! - [`mod@write`]: a write whose lost answer is resolved by reading its own identity back.
//! - [`backoff`]: growing pauses with jitter.
//! - [`budget`]: the rate budget, which counts each call, a waiting watch as one.
//! - [`credential`]: tokens, which are never shown.
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
