//! What clients reach: look-ups and requests over HTTP/1.1.
//!
//! Every bound is set here: connections, head and body in size and time, and bytes that a client does
//! not take; [`binding`] lets clients in. The way a request goes: [`listener`] accepts, [`route`] reads the path, [`lookup`] or
//! [`intake`] reads the rest, [`reply`] writes the answer.
//!
//! ```
//! use damaskvane_entry::client_api::route;
//!
//! assert!(matches!(route::Route::parse("/v1/lookup"), route::Route::Lookup));
//! ```

pub mod binding;
pub mod header;
pub mod intake;
pub mod listener;
pub mod lookup;
pub mod reply;
pub mod reserved;
pub mod route;
