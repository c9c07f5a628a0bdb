//! Exchanges over kept HTTP connections, and how far an exchange got when it failed.
//!
//! A client has to know whether a byte of its request may have left: only then is the outcome in
//! doubt. Each connection carries one exchange at a time, and one whose exchange failed is dropped.
//!
//! ```
//! use damaskvane_bench::http;
//!
//! assert!(!http::ExchangeError::NotSent.may_have_arrived());
//! assert!(http::ExchangeError::Broken.may_have_arrived());
//! ```

use std::collections::HashMap;
use std::net;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::task;

/// The longest answer taken, in bytes.
const ANSWER_LIMIT_BYTES: usize = 32 * 1024 * 1024;
/// The longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A request with its whole body.
pub type Request = hyper::Request<Full<Bytes>>;
/// An answer with its whole body.
pub type Response = hyper::Response<Bytes>;

/// How an exchange failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum ExchangeError {
    /// no connection; nothing was sent
    NotSent,
    /// the connection ended before the whole answer
    Broken,
    /// no whole answer within the time left
    TimedOut,
}

impl ExchangeError {
    /// Whether the other end may have the request.
    #[must_use]
    pub const fn may_have_arrived(self) -> bool {
        !matches!(self, Self::NotSent)
    }
}

/// A connection; dropping it closes it.
#[derive(Debug)]
struct Kept {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: task::JoinHandle<()>,
}

impl Drop for Kept {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Connections {
    idle: Mutex<HashMap<net::SocketAddr, Vec<Kept>>>,
}

impl Connections {
    /// Sends a request and waits for the whole answer, at most `limit`.
    pub async fn exchange(
        &self,
        address: net::SocketAddr,
        request: Request,
        limit: Duration,
    ) -> Result<Response, ExchangeError> {
        tokio::time::timeout(limit, self.exchange_unbounded(address, request))
            .await
            .unwrap_or(Err(ExchangeError::TimedOut))
    }

    async fn exchange_unbounded(
        &self,
        address: net::SocketAddr,
        request: Request,
    ) -> Result<Response, ExchangeError> {
        let mut request = request;
        while let Some(mut kept) = self.take(address) {
            match kept.sender.try_send_request(request).await {
                Ok(answer) => return self.collect(address, kept, answer).await,
                // The request comes back only if no byte of it was sent: a kept connection that was
                // closed meanwhile. Any other failure leaves the outcome in doubt.
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(ExchangeError::Broken),
                },
            }
        }
        let mut kept = connect(address).await?;
        let answer = kept.sender.try_send_request(request).await;
        let answer = answer.map_err(|mut error| match error.take_message() {
            Some(_) => ExchangeError::NotSent,
            None => ExchangeError::Broken,
        })?;
        self.collect(address, kept, answer).await
    }

    async fn collect(
        &self,
        address: net::SocketAddr,
        kept: Kept,
        answer: hyper::Response<hyper::body::Incoming>,
    ) -> Result<Response, ExchangeError> {
        let (head, body) = answer.into_parts();
        let body = Limited::new(body, ANSWER_LIMIT_BYTES).collect().await;
        let body = body.map_err(|_| ExchangeError::Broken)?.to_bytes();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.entry(address).or_default().push(kept);
        Ok(hyper::Response::from_parts(head, body))
    }

    fn take(&self, address: net::SocketAddr) -> Option<Kept> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle.get_mut(&address)?;
        while let Some(connection) = kept.pop() {
            if connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }
}

async fn connect(address: net::SocketAddr) -> Result<Kept, ExchangeError> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, tokio::net::TcpStream::connect(address));
    let stream = stream.await.map_err(|_| ExchangeError::NotSent)?;
    let stream = stream.map_err(|_| ExchangeError::NotSent)?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| ExchangeError::NotSent)?;
    let driver = tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(Kept { sender, driver })
}
