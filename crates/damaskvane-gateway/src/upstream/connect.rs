//! Opens connections to backend servers, without a tunnel or through another instance.

use core::time::Duration;
use std::io;
use std::net;
use std::rc::Rc;

use damaskvane_core::ids;
use damaskvane_core::time::SpanMs;
use damaskvane_routing::configuration::RegionSet;

use crate::http;
use crate::node::Node;
use crate::reach;
use crate::tunnel::{self, Endpoint, Path, TunnelError};

/// Time without an acknowledgement of sent packets after which a connection fails; longer than two
/// retransmissions on a lossy link.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Why no connection to a backend server was opened.
#[derive(Debug)]
pub enum OpenError {
    /// The connection could not be opened without a tunnel.
    Direct(io::Error),
    /// The server needs a tunnel, and none could be opened.
    Tunnel(TunnelError),
}

impl OpenError {
    /// Returns whether the server's machine refused the connection, as far as the instance that opened it can tell.
    #[must_use]
    pub fn is_refusal(&self) -> bool {
        match self {
            Self::Direct(error) => error.kind() == io::ErrorKind::ConnectionRefused,
            Self::Tunnel(error) => error.is_server_refusal(),
        }
    }
}

impl OpenError {
    /// Returns the time for which the server wants no request from the instance that would have carried a tunnel to it.
    pub(crate) const fn rest(&self) -> Option<SpanMs> {
        match self {
            Self::Direct(_) => None,
            Self::Tunnel(error) => error.rest(),
        }
    }
}

/// When another instance is asked after this instance failed to open a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TunnelUse {
    /// If this instance doubts that it reaches the servers; otherwise another server serves a request sooner.
    IfDoubtful,
    /// Always: whether the server is down is what matters.
    Always,
}

/// Opens a connection to a server, through an instance in one of these regions if a tunnel is needed.
///
/// # Errors
///
/// Returns the reason why no connection was opened. Nothing was sent to the server then.
pub async fn open(
    node: &Rc<Node>,
    endpoint: Endpoint<'_>,
    allowed_regions: &RegionSet,
    tunnel_use: TunnelUse,
    timeout: Duration,
) -> Result<(http::Connection, Path), OpenError> {
    if reach::needs_tunnel(node, endpoint.server) {
        let opened = tunnel::open(node, endpoint, allowed_regions, timeout).await;
        return opened.map_err(OpenError::Tunnel);
    }
    let opened = open_direct(node, endpoint.server, endpoint.address, timeout).await;
    let error = match opened {
        Ok(connection) => return Ok((connection, Path::Direct)),
        Err(error) => error,
    };
    if tunnel_use == TunnelUse::IfDoubtful && !reach::is_doubtful(node) {
        return Err(OpenError::Direct(error));
    }
    let opened = open_by_peer(node, endpoint, allowed_regions, timeout).await;
    opened.ok_or(OpenError::Direct(error))
}

/// Opens a connection through another instance after this instance failed to open one, and records a success as evidence
/// on this instance's reach.
pub async fn open_by_peer(
    node: &Rc<Node>,
    endpoint: Endpoint<'_>,
    allowed_regions: &RegionSet,
    timeout: Duration,
) -> Option<(http::Connection, Path)> {
    let opened = tunnel::open(node, endpoint, allowed_regions, timeout).await;
    let opened = opened.ok()?;
    reach::record_opened_by_peer(node, endpoint.server);
    Some(opened)
}

/// Opens a connection without a tunnel, and records the result as evidence on this instance's reach.
///
/// # Errors
///
/// Returns the error of the connection.
pub async fn open_direct(
    node: &Node,
    server: &ids::BackendServerId,
    address: net::SocketAddr,
    timeout: Duration,
) -> io::Result<http::Connection> {
    let opened = http::open_stream(address, timeout, SILENCE_TIMEOUT).await;
    reach::record_attempt(node, server, &opened);
    opened.map(http::Connection::over)
}
