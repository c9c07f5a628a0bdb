//! Connections to and exchanges with backend servers.

mod answer;
mod exchange;
mod idle;
mod request;

pub use answer::{Answer, ResponseBody};
pub use exchange::{Exchange, ExchangeOutcome};
pub use idle::IdleConnections;
pub use request::{OutgoingRequest, strip_connection_headers};
