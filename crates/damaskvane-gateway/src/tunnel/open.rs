//! Opens tunnels through other instances.

use core::time::Duration;
use std::io;
use std::net;
use std::rc::Rc;

use damaskvane_core::ids;
use damaskvane_routing::configuration::RegionSet;
use damaskvane_routing::pool::ServerKey;
use damaskvane_routing::reachability::TunnelWish;
use rand::RngExt;
use tokio::net::TcpStream;

use crate::framing;
use crate::http;
use crate::node::Node;
use crate::tunnel::message::{MAGIC, TunnelReply, TunnelRequest};
use crate::tunnel::{Path, Peer, TunnelError};

/// Largest number of instances that are asked for one tunnel.
const MAX_PEERS: usize = 2;
/// Part of the time for a tunnel in which the carrying instance must reach the server; the rest is for its reply.
const SERVER_TIME_SHARE: f64 = 0.75;
/// Time without an acknowledgement of sent packets after which a tunnel fails.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The backend server to which a connection is opened.
#[derive(Debug, Clone, Copy)]
pub struct Endpoint<'a> {
    /// Name of the server.
    pub server: &'a ids::BackendServerId,
    /// Address of the server, by this instance's list of servers.
    pub address: net::SocketAddr,
    /// Availability zone of the server.
    pub zone: &'a ids::AvailabilityZoneId,
}

/// Opens a connection to a server through another instance in one of these regions, within `timeout` for each instance
/// that is asked.
///
/// # Errors
///
/// Returns the reason why the last instance that was asked carries no tunnel. Nothing was sent to the server then.
pub async fn open(
    node: &Rc<Node>,
    endpoint: Endpoint<'_>,
    allowed_regions: &RegionSet,
    timeout: Duration,
) -> Result<(http::Connection, Path), TunnelError> {
    let mut tried = Vec::new();
    let mut last = TunnelError::NoPeer;
    while tried.len() < MAX_PEERS {
        let Some(peer) = choose(node, endpoint, allowed_regions, &tried) else {
            break;
        };
        match open_through(peer.address, endpoint.server, timeout).await {
            Ok(connection) => {
                count(node, "opened");
                return Ok((connection, Path::Tunnel(peer)));
            }
            Err(error) => last = error,
        }
        count(node, last.as_str());
        if !last.is_of_peer() {
            break;
        }
        record_refused(node, endpoint.server, &peer, last);
        tried.push(peer.instance);
    }
    Err(last)
}

/// Records that an instance carries no tunnel to a server. One that the server wants no request from may carry others.
fn record_refused(node: &Node, server: &ids::BackendServerId, peer: &Peer, error: TunnelError) {
    let now = node.now();
    let peers = &mut node.state.borrow_mut().tunnel_peers;
    match error.rest() {
        Some(remaining) => {
            let server = ServerKey::of(server);
            peers.record_rest(now, &peer.instance, server, remaining);
        }
        None => peers.record_failed(now, &peer.instance),
    }
}

fn count(node: &Node, outcome: &str) {
    node.metrics.tunnels.with_label_values(&[outcome]).inc();
}

fn choose(
    node: &Node,
    endpoint: Endpoint<'_>,
    allowed_regions: &RegionSet,
    tried: &[ids::InstanceId],
) -> Option<Peer> {
    let settings = node.settings();
    let now = node.now();
    let state = node.state.borrow();
    let wish = TunnelWish {
        own_zone: &settings.zone,
        own_region: &settings.region,
        server_zone: endpoint.zone,
        allowed_regions,
        tried,
        spread: rand::rng().random(),
    };
    let others = state.members.others_accepting(now);
    let chosen = state.tunnel_peers.choose(now, others, &wish)?;
    Some(Peer {
        instance: chosen.instance.clone(),
        address: chosen.peer_address,
        zone: chosen.zone.clone(),
        region: settings.regions.get(&chosen.zone).cloned(),
    })
}

async fn open_through(
    peer: net::SocketAddr,
    server: &ids::BackendServerId,
    timeout: Duration,
) -> Result<http::Connection, TunnelError> {
    let opening = request_tunnel(peer, server, timeout);
    let opened = tokio::time::timeout(timeout, opening).await;
    let Ok(Ok((stream, reply))) = opened else {
        return Err(TunnelError::PeerSilent);
    };
    reply.into_result().map_err(TunnelError::Refused)?;
    Ok(http::Connection::over(stream))
}

async fn request_tunnel(
    peer: net::SocketAddr,
    server: &ids::BackendServerId,
    timeout: Duration,
) -> io::Result<(TcpStream, TunnelReply)> {
    let mut stream = http::open_stream(peer, timeout, SILENCE_TIMEOUT).await?;
    let timeout_ms = timeout.mul_f64(SERVER_TIME_SHARE).as_millis();
    let request = TunnelRequest {
        magic: MAGIC,
        server: server.clone(),
        timeout_ms: u32::try_from(timeout_ms).unwrap_or(u32::MAX),
    };
    framing::send(&mut stream, &request).await?;
    let reply = framing::read(&mut stream).await?;
    Ok((stream, framing::decode(&reply)?))
}
