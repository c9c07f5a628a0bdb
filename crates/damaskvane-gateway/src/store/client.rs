//! Calls on the store over a kept connection.

use core::time::Duration;
use std::io;
use std::rc::Rc;

use bytes::Bytes;
use hyper::StatusCode;

use crate::adapter::{Collection, StoreRequest};
use crate::http::{self, BodyReader, ReadError};
use crate::node::Node;

/// How long a connection to the store may take to open. A packet that a partition swallows is sent again
/// after a second; a new try after this time finds the healed link sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// The silence after which a connection to the store is given up. An open connection can go silent for
/// good; a change must still be heard within about two seconds more.
const SILENCE: Duration = Duration::from_millis(2_500);
/// Largest answer of the store: pages hold a megabyte at most.
const MOST_ANSWER_BYTES: usize = 16 << 20;

/// Why a call brought nothing.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum CallError {
    /// the store does not answer in time; it is asked again
    Timeout,
    /// the connection to the store broke: {0}; a new one is tried
    Io(io::Error),
    /// the store answered with status {0}; it is asked again
    Status(StatusCode),
    /// the history that was asked for is gone; everything is read anew
    HistoryGone,
    /// the store's answer can't be read; check that the address in the settings is the store's
    Malformed,
}

impl CallError {
    /// The error as a word for counters.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Timeout => "timeout",
            Self::Io(_) => "io",
            Self::Status(_) => "status",
            Self::HistoryGone => "history_gone",
            Self::Malformed => "malformed",
        }
    }
}

impl From<ReadError> for CallError {
    fn from(error: ReadError) -> Self {
        match error {
            ReadError::Io(error) => Self::Io(error),
            ReadError::Malformed => Self::Malformed,
        }
    }
}

/// A client with one connection, which carries one call at a time.
#[derive(Debug)]
pub struct StoreClient {
    node: Rc<Node>,
    collection: Collection,
    connection: Option<http::Connection>,
}

impl StoreClient {
    /// A client for one collection.
    #[must_use]
    pub const fn new(node: Rc<Node>, collection: Collection) -> Self {
        Self {
            node,
            collection,
            connection: None,
        }
    }

    /// Makes a call.
    ///
    /// The connection is kept only after a complete answer: one on which an answer is missing brings
    /// nothing more, and a late answer would be taken for that of the next call.
    ///
    /// # Errors
    ///
    /// Fails if there is no complete answer in time, or its status is not a success.
    pub async fn call(
        &mut self,
        request: &StoreRequest,
        timeout: Duration,
    ) -> Result<Bytes, CallError> {
        let result = tokio::time::timeout(timeout, self.exchange(request)).await;
        let result = result.unwrap_or(Err(CallError::Timeout));
        let outcome = result.as_ref().err().map_or("ok", CallError::as_str);
        let labels = [self.collection.as_str(), request.purpose.as_str(), outcome];
        self.node
            .metrics
            .store_calls
            .with_label_values(&labels)
            .inc();
        result
    }

    async fn exchange(&mut self, request: &StoreRequest) -> Result<Bytes, CallError> {
        let kept = self.connection.take();
        let mut connection = match kept.filter(http::Connection::is_clean) {
            Some(connection) => connection,
            None => {
                let address = self.node.settings().store_address;
                http::Connection::open(address, CONNECT_TIMEOUT, SILENCE)
                    .await
                    .map_err(CallError::Io)?
            }
        };
        let bytes = to_bytes(request, &self.node);
        connection.write(&bytes).await.map_err(CallError::Io)?;
        let head = connection.read_head().await?;
        let mut body = BodyReader::new(head.body);
        let body = connection.read_body(&mut body, MOST_ANSWER_BYTES).await?;
        let body = body.map_err(|_| CallError::Malformed)?;
        if head.keeps_open {
            self.connection = Some(connection);
        }
        let status = StatusCode::from_u16(head.status).map_err(|_| CallError::Malformed)?;
        match status {
            StatusCode::GONE => Err(CallError::HistoryGone),
            status if status.is_success() => Ok(body),
            status => Err(CallError::Status(status)),
        }
    }
}

fn to_bytes(request: &StoreRequest, node: &Node) -> Vec<u8> {
    let address = node.settings().store_address;
    let mut text = format!(
        "{} {} HTTP/1.1\r\nhost: {address}\r\n",
        request.method, request.path
    );
    if !request.body.is_empty() {
        text.push_str("content-type: application/json\r\n");
        text.push_str(&format!("content-length: {}\r\n", request.body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&request.body);
    bytes
}
