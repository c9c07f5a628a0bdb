//! Carries tunnels for other instances.

use core::time::Duration;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io;
use std::net;
use std::rc::Rc;

use damaskvane_core::ids;
use damaskvane_routing::reachability::{Carrier, TunnelRefusal};
use tokio::net::TcpStream;

use crate::costs::{Distance, Flow, OpenReason};
use crate::framing;
use crate::http;
use crate::node::Node;
use crate::reach;
use crate::stop::Stop;
use crate::tunnel::copy;
use crate::tunnel::message::{TunnelReply, TunnelRequest};

/// Longest time in which the connection to a server must be established.
const MAX_CONNECT_TIMEOUT_MS: u32 = 400;
/// Time without an acknowledgement of sent packets after which either connection of a tunnel fails.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A tunnel takes two descriptors; this part of the process's descriptors, as a divisor, may be tunnels.
const DESCRIPTORS_PER_TUNNEL: usize = 8;

/// The tunnels that this instance carries: for each the server, and the IP address of the instance that uses it.
#[derive(Debug, Default)]
pub(crate) struct CarriedTunnels(RefCell<Vec<(ids::BackendServerId, Option<net::IpAddr>)>>);

impl CarriedTunnels {
    /// Returns the number of tunnels.
    pub(crate) fn get(&self) -> usize {
        self.0.borrow().len()
    }

    /// Returns the IP addresses of the instances that use tunnels to a server.
    pub(crate) fn users(&self, server: &ids::BackendServerId) -> BTreeSet<net::IpAddr> {
        let tunnels = self.0.borrow();
        let to_server = tunnels.iter().filter(|(to, _)| to == server);
        to_server.filter_map(|(_, user)| *user).collect()
    }
}

/// Counts one tunnel until this guard is dropped.
struct TunnelGuard {
    node: Rc<Node>,
    tunnel: (ids::BackendServerId, Option<net::IpAddr>),
}

impl TunnelGuard {
    fn new(node: &Rc<Node>, server: &ids::BackendServerId, user: Option<net::IpAddr>) -> Self {
        let tunnel = (server.clone(), user);
        node.carried_tunnels.0.borrow_mut().push(tunnel.clone());
        Self {
            node: Rc::clone(node),
            tunnel,
        }
    }
}

impl Drop for TunnelGuard {
    fn drop(&mut self) {
        let mut tunnels = self.node.carried_tunnels.0.borrow_mut();
        if let Some(index) = tunnels.iter().position(|one| *one == self.tunnel) {
            tunnels.swap_remove(index);
        }
    }
}

/// Opens a connection for another instance and copies its bytes until either side ends.
pub(crate) async fn carry(
    node: &Rc<Node>,
    mut stream: TcpStream,
    request: &[u8],
) -> io::Result<()> {
    let request: TunnelRequest = framing::decode(request)?;
    // A planned stop waits for the requests in the tunnel.
    let _request_guard = Stop::track_request(node);
    let user = stream.peer_addr().ok().map(|address| address.ip());
    let _tunnel_guard = TunnelGuard::new(node, &request.server, user);
    let opened = open(node, &request).await;
    let outcome = opened.as_ref().err().map_or("opened", |one| one.as_str());
    let carried = &node.metrics.carried_tunnels;
    carried.with_label_values(&[outcome]).inc();
    let reply = TunnelReply::of(opened.as_ref().map(|_| ()).map_err(|refusal| *refusal));
    framing::send(&mut stream, &reply).await?;
    let Ok(server) = opened else {
        return Ok(());
    };
    http::set_silence_timeout(&stream, SILENCE_TIMEOUT)?;
    let bytes = copy::until_end(stream, server).await;
    let distance = distance_to(node, &request.server);
    let costs = &node.metrics.costs;
    costs.record_bytes(Flow::Tunnel, distance, bytes);
    Ok(())
}

async fn open(node: &Rc<Node>, request: &TunnelRequest) -> Result<TcpStream, TunnelRefusal> {
    let server = &request.server;
    let address = {
        let state = node.state.borrow();
        let carrier = Carrier {
            now: node.now(),
            is_leaving: node.stop.is_leaving(),
            reach: state.reach.reach(),
            needs_tunnel: state.reach.needs_tunnel(server),
            // This tunnel is counted already.
            tunnels: node.carried_tunnels.get().saturating_sub(1),
            max_tunnels: node.settings().max_descriptors / DESCRIPTORS_PER_TUNNEL,
        };
        carrier.admit(&state.pool, server)?
    };
    node.metrics.costs.record_connection(OpenReason::Tunnel);
    let timeout = Duration::from_millis(request.timeout_ms.min(MAX_CONNECT_TIMEOUT_MS).into());
    let opened = http::open_stream(address, timeout, SILENCE_TIMEOUT).await;
    reach::record_attempt(node, server, &opened);
    opened.map_err(|error| match error.kind() {
        io::ErrorKind::ConnectionRefused => TunnelRefusal::ServerRefused,
        _ => TunnelRefusal::ServerSilent,
    })
}

fn distance_to(node: &Node, server: &ids::BackendServerId) -> Distance {
    let state = node.state.borrow();
    let server = state.pool.server(server);
    let zone = server.map(|server| server.entry.zone.clone());
    drop(state);
    zone.map_or(Distance::OtherRegion, |zone| Distance::to_zone(node, &zone))
}
