//! Messages between instances, their encoding as datagrams, and the queue of those that are sent as soon as possible.

mod limit_wire;
mod message;
mod message_wire;
mod outbox;
mod quota_wire;
mod statement_wire;
mod token_message;
mod token_wire;

pub use message::Message;
pub use outbox::Outbox;
pub use token_message::{
    LeaseRequest, LimitClaim, TokenMessage, TokenOutcome, TokenReply, TokenRequest,
};
