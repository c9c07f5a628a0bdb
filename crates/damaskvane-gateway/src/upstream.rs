//! Exchanges with backend servers, and the connections that carry them.

mod exchange;
mod idle;
mod request;
mod response;

pub use exchange::{Exchange, ExchangeOutcome};
pub use idle::IdleConnections;
pub use request::{OutgoingRequest, strip_connection_headers};
pub use response::{BackendResponse, ResponseBody};
