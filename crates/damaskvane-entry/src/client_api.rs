//! HTTP/1.1 interface for clients: lookups and requests for services.
//!
//! All limits on clients are applied here: the number of connections, the size of a request's head and
//! body, the time to receive each of them, and the time that sent bytes may stay unacknowledged by a
//! client.
//!
//! Path of a request: [`binding`] opens the port, [`listener`] accepts the connection, [`route`] parses
//! the path, [`lookup`] or [`request_reader`] reads the rest, and [`reply`] builds the response.
//!
//! ```
//! use damaskvane_entry::client_api::route;
//!
//! assert!(matches!(route::Route::parse("/v1/lookup"), route::Route::Lookup));
//! ```

pub mod binding;
pub mod header;
pub mod listener;
pub mod lookup;
pub mod reply;
pub mod request_reader;
pub mod reserved;
pub mod route;
