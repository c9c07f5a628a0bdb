//! HTTP client for calls to the platform's store, with one reused connection.

use core::time::Duration;
use std::io;
use std::rc::Rc;

use bytes::Bytes;
use hyper::StatusCode;

use crate::adapter::{Collection, DecodeError, StoreRequest};
use crate::http::{self, BodyReader, ReadError};
use crate::node::Node;
use crate::store::page_cursor::StuckList;

/// Timeout for opening a connection to the store. A packet that is lost in a partition is retransmitted after 1 s; a
/// new connection attempt after this timeout succeeds sooner once the partition has ended.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time without any packet from the store's host after which the connection is closed. A peer of an open connection can
/// stop sending for good, and a change must still arrive within about 2 s after this time.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum size in bytes of a response body from the store. A page of a list has at most 1 MB.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Reasons why a call to the store failed.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum CallError {
    /// the store did not respond in time; the call is retried
    Timeout,
    /// the connection to the store broke: {0}; a new connection is opened
    Io(io::Error),
    /// the store responded with status {0}; the call is retried
    Status(StatusCode),
    /// the requested history is no longer available in the store; the whole collection is read again
    HistoryGone,
    /// the store's response can't be decoded; check that the address in the settings is the store's
    Malformed,
    /// {0}
    StuckList(StuckList),
}

impl CallError {
    /// Returns whether the same call would fail again: the store refuses it, or its list doesn't advance.
    #[must_use]
    pub fn is_lasting(&self) -> bool {
        match self {
            Self::StuckList(_) => true,
            Self::Status(status) => {
                status.is_client_error() && *status != StatusCode::TOO_MANY_REQUESTS
            }
            _ => false,
        }
    }

    /// Returns the label of the error for metrics.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Timeout => "timeout",
            Self::Io(_) => "io",
            Self::Status(_) => "status",
            Self::HistoryGone => "history_gone",
            Self::Malformed => "malformed",
            Self::StuckList(_) => "stuck_list",
        }
    }
}

impl From<ReadError> for CallError {
    fn from(error: ReadError) -> Self {
        match error {
            ReadError::Io(error) => Self::Io(error),
            ReadError::Head(_) | ReadError::Chunks | ReadError::Late => Self::Malformed,
        }
    }
}

/// Sends calls for one collection (the store's objects of one kind) over one connection, one call at a time.
#[derive(Debug)]
pub struct StoreClient {
    node: Rc<Node>,
    collection: Collection,
    connection: Option<http::Connection>,
}

impl StoreClient {
    /// Creates a client that is not yet connected.
    #[must_use]
    pub const fn new(node: Rc<Node>, collection: Collection) -> Self {
        Self {
            node,
            collection,
            connection: None,
        }
    }

    /// Sends a request and returns the body of the response, with digests in place of API keys.
    ///
    /// The connection is reused only after a complete response. No further call is sent on a connection on which a
    /// response has not arrived, because a late response would be taken for the response to the next call.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives within `timeout`, or if the status is not a success.
    pub async fn call(
        &mut self,
        request: &StoreRequest,
        timeout: Duration,
    ) -> Result<Bytes, CallError> {
        let result = tokio::time::timeout(timeout, self.exchange(request)).await;
        let result = result.unwrap_or(Err(CallError::Timeout));
        let result = result.and_then(|body| self.digest_keys(body));
        let outcome = result.as_ref().err().map_or("ok", CallError::as_str);
        let labels = [self.collection.as_str(), request.purpose.as_str(), outcome];
        self.node
            .metrics
            .store_calls
            .with_label_values(&labels)
            .inc();
        result
    }

    fn digest_keys(&self, body: Bytes) -> Result<Bytes, CallError> {
        let digested = self.node.adapter.digest_keys(self.collection, body);
        digested.map_err(|error| self.log_malformed(&error))
    }

    /// Logs why a response can't be decoded.
    pub(super) fn log_malformed(&self, error: &DecodeError) -> CallError {
        slog::warn!(self.node.log.log, "cannot decode the response of the store";
            "collection" => self.collection.as_str(), "error" => %error);
        CallError::Malformed
    }

    async fn exchange(&mut self, request: &StoreRequest) -> Result<Bytes, CallError> {
        let reusable = self.connection.take();
        let mut connection = match reusable.filter(http::Connection::is_reusable) {
            Some(connection) => connection,
            None => {
                let address = self.node.settings().store_address;
                http::Connection::open(address, CONNECT_TIMEOUT, IDLE_TIMEOUT)
                    .await
                    .map_err(CallError::Io)?
            }
        };
        let bytes = encode_request(request, &self.node);
        connection.write(&bytes).await.map_err(CallError::Io)?;
        let head = connection.read_head().await?;
        let mut body = BodyReader::new(head.body);
        let body = connection.read_body(&mut body, MAX_RESPONSE_BYTES).await?;
        let body = body.map_err(|_| CallError::Malformed)?;
        if head.is_keep_alive {
            self.connection = Some(connection);
        }
        match head.status {
            StatusCode::GONE => Err(CallError::HistoryGone),
            status if status.is_success() => Ok(body),
            status => Err(CallError::Status(status)),
        }
    }
}

fn encode_request(request: &StoreRequest, node: &Node) -> Vec<u8> {
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
