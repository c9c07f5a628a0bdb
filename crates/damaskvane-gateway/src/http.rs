//! Reading and writing HTTP/1.1 on a connection that this instance opened.
//!
//! Backend servers send more than well-formed answers: late ones, second ones, cut ones, ones without a
//! length. Telling them apart needs the bytes, so the reading is done here over `httparse`; a client
//! library would hand the first answer that comes to whoever waits.

mod body;
mod connection;
mod head;

pub use body::{BodyKind, BodyReader, MalformedBody, Piece};
pub use connection::{Connection, ReadError};
pub use head::{MalformedHead, ResponseHead};
