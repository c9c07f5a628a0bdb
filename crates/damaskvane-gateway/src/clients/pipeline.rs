//! Requests that a client sends before the responses to its earlier ones (HTTP/1.1 pipelining).
//!
//! The HTTP library reads a head only after the previous response was written. Here heads are read ahead, their requests
//! run side by side, and the responses are written in the order of the requests. Only requests that can't be framed in two
//! ways are served here, see [`head`]. At the first other one, the connection is passed to the HTTP library with all bytes
//! that belong to no request served here, so that a single parser decides on everything unusual.

mod connection;
mod date;
mod head;
mod input;
mod output;
mod queue;
mod reservation;

use core::future;
use core::pin::pin;
use core::time::Duration;
use std::net;
use std::rc::Rc;

use bytes::Bytes;
use damaskvane_routing::configuration::Limits;
use tokio::io::Interest;
use tokio::net::TcpStream;

use crate::clients::pipeline::connection::{End, PipelinedConnection};
use crate::node::Node;
use crate::stop::StopPhase;

/// Most bytes that are discarded when a connection closes.
const MAX_DISCARDED_BYTES: usize = 65_536;

/// A connection whose further requests are served in order.
#[derive(Debug)]
pub(super) struct HandedOver {
    pub(super) stream: TcpStream,
    /// The bytes that were read and belong to no request that was served.
    pub(super) unread: Bytes,
}

/// Serves a client's connection; returns it if its next request is not one that is served here.
pub(super) async fn serve(
    node: &Rc<Node>,
    mut stream: TcpStream,
    client_address: net::IpAddr,
    limits: &Limits,
) -> Option<HandedOver> {
    let end = {
        let (reader, writer) = stream.split();
        let writer = writer.as_ref();
        let mut connection = PipelinedConnection::new(node, reader, writer, client_address, limits);
        // Becomes ready when the client closes the connection, even if it has sent bytes that were not read.
        let mut departure = pin!(writer.ready(Interest::PRIORITY));
        let idle_timeout = Duration::from_millis(limits.idle_timeout_ms);
        let mut sleep = pin!(tokio::time::sleep(idle_timeout));
        let mut phases = node.stop.subscribe();
        let serving =
            future::poll_fn(|context| connection.poll(context, departure.as_mut(), sleep.as_mut()));
        let end = tokio::select! {
            end = serving => Some(end),
            _ = phases.wait_for(|phase| *phase == StopPhase::Closing) => None,
        };
        match end {
            Some(end) => end,
            None => {
                connection.stop();
                future::poll_fn(|context| {
                    connection.poll(context, departure.as_mut(), sleep.as_mut())
                })
                .await
            }
        }
    };
    match end {
        End::HandedOver(unread) => Some(HandedOver { stream, unread }),
        End::Closed => {
            close(&stream);
            None
        }
        End::Failed => None,
    }
}

/// Closes a connection after its last response.
///
/// The operating system resets a connection that is closed with unread bytes, and the client would lose the response.
fn close(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).shutdown(net::Shutdown::Write);
    let mut discarded = [0; 4_096];
    for _ in 0..MAX_DISCARDED_BYTES / discarded.len() {
        if !matches!(stream.try_read(&mut discarded), Ok(bytes) if bytes > 0) {
            return;
        }
    }
}
