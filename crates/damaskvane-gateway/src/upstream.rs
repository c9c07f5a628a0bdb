//! Exchanges with backend servers, and the connections that carry them.

mod body_limits;
mod classify;
mod connect;
mod exchange;
mod fault;
mod idle;
mod outcome;
mod request;
mod response;
mod running;
mod streamed_body;
mod streaming;

pub use connect::{OpenError, TunnelUse, open, open_by_peer, open_direct};
pub use exchange::Exchange;
pub use fault::ResponseFault;
pub use idle::IdleConnections;
pub use outcome::{ExchangeOutcome, Sending};
pub use request::OutgoingRequest;
pub use response::{BackendResponse, ResponseBody};
pub use streamed_body::StreamedBody;
