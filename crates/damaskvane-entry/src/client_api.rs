//! HTTP/1.1 interface for clients: lookups and requests for services.
//!
//! All limits on clients are applied here: number of connections, size of and time for head and body, and
//! the time that a client may leave sent bytes unacknowledged.
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
