//! Health probes of backend servers that are unreachable or may have restarted.

mod comparison;

use core::time::Duration;
use std::io;
use std::rc::Rc;

use damaskvane_routing::configuration::RegionSet;
use damaskvane_routing::pool::{DueProbe, ProbeResult, ServerEntry, StatementSource};
use hyper::StatusCode;

use crate::costs::OpenReason;
use crate::crashes;
use crate::http::{self, BodyReader};
use crate::node::Node;
use crate::probes::comparison::Comparison;
use crate::reach;
use crate::send_permit::{Purpose, SendPermit};
use crate::server_statements;
use crate::tunnel::{Endpoint, Path};
use crate::upstream::{self, OpenError, TunnelUse};

/// Interval between two checks for due probes.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a probe: a server that takes longer to respond is too busy to receive requests again.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time in which the connection of a probe must open; another instance is asked in the rest of the probe's time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Largest number of times that a probe is sent; a full server closes connections too, and further ones add to its load.
const MAX_PROBE_TRIES: u32 = 3;
/// Delay before a probe is sent again after the server closed its connection.
const CLOSED_PROBE_DELAY: Duration = Duration::from_millis(50);
/// Largest body of a probe's response, in bytes.
const MAX_BODY_BYTES: usize = 16_384;

/// Sends due probes, and removes servers whose entry is missing after a store outage and idle connections that have
/// expired, until the process ends.
pub async fn run(node: Rc<Node>) {
    loop {
        let _ = tokio::time::timeout(POLL_INTERVAL, node.probe_requested.notified()).await;
        let now = node.now();
        let expired = node.state.borrow_mut().pool.expire(now);
        for change in expired {
            slog::info!(node.log.log, "backend server";
                "backend_server" => %change.server(), "change" => change.as_str(),
                "reason" => "missing after an outage of the store");
        }
        node.idle.borrow_mut().expire(now);
        let flooding = node.idle.borrow_mut().close_flooded(now);
        for server in flooding {
            node.metrics.floods.inc();
            if let Some(mut server) = node.state.borrow_mut().pool.server_mut(&server) {
                server.record_flood(now);
            }
        }
        let Some(configuration) = node.configuration() else {
            continue;
        };
        let due = node.state.borrow_mut().pool.due_probes(now, |service| {
            let service = configuration.service(service)?;
            Some(service.health_path.clone())
        });
        for probe in due {
            tokio::task::spawn_local(run_probe(Rc::clone(&node), probe));
        }
    }
}

async fn run_probe(node: Rc<Node>, probe: DueProbe) {
    node.metrics.probes.inc();
    node.metrics.costs.record_connection(OpenReason::Probe);
    node.idle.borrow_mut().drop_server(&probe.server);
    let comparison = Comparison::default();
    let probing = probe_until_answered(&node, &probe, &comparison);
    let probing = tokio::time::timeout(PROBE_TIMEOUT, probing);
    let result = probing.await.unwrap_or(ProbeResult::NoAnswer);
    let now = node.now();
    node.state
        .borrow_mut()
        .pool
        .record_probe(now, &probe.server, result);
    slog::info!(node.log.log, "backend server probed";
        "backend_server" => %probe.server, "result" => ?result);
    // Other servers are opened for this, and no request must go to the server meanwhile.
    record_evidence(&node, &probe, result, &comparison).await;
}

/// Records what a probe shows about the requests that were running on the server.
async fn record_evidence(
    node: &Rc<Node>,
    probe: &DueProbe,
    result: ProbeResult,
    comparison: &Comparison,
) {
    match result {
        ProbeResult::Refused => {
            let awaits_proof = crashes::awaits_proof(node, &probe.server);
            if !awaits_proof || comparison.is_proof(node, &probe.server).await {
                crashes::record_server_death(node, &probe.server, "probe");
            }
        }
        ProbeResult::OtherServer => {
            crashes::record_server_death(node, &probe.server, "probe");
        }
        ProbeResult::Healthy { .. } | ProbeResult::Unhealthy => {
            crashes::record_server_alive(node, &probe.server);
        }
        ProbeResult::NotSent => {}
        ProbeResult::NoAnswer => crashes::record_server_silent(node, &probe.server),
    }
}

/// Opens the connection of a probe, through another instance if this one is refused.
async fn open_probed(
    node: &Rc<Node>,
    probe: &DueProbe,
    entry: &ServerEntry,
    comparison: &Comparison,
) -> Result<(http::Connection, Path), OpenError> {
    if reach::needs_tunnel(node, &entry.id) {
        return open(node, entry, CONNECT_TIMEOUT).await;
    }
    let opened = upstream::open_direct(node, &entry.id, entry.address, CONNECT_TIMEOUT).await;
    let error = match opened {
        Ok(connection) => return Ok((connection, Path::Direct)),
        Err(error) => error,
    };
    if error.kind() == io::ErrorKind::ConnectionRefused {
        comparison.start(node, probe);
    }
    let endpoint = endpoint_of(entry);
    let opened = upstream::open_by_peer(node, endpoint, &RegionSet::Any, CONNECT_TIMEOUT).await;
    opened.ok_or(OpenError::Direct(error))
}

const fn endpoint_of(entry: &ServerEntry) -> Endpoint<'_> {
    Endpoint {
        server: &entry.id,
        address: entry.address,
        zone: &entry.zone,
    }
}

async fn open(
    node: &Rc<Node>,
    entry: &ServerEntry,
    timeout: Duration,
) -> Result<(http::Connection, Path), OpenError> {
    let endpoint = endpoint_of(entry);
    upstream::open(node, endpoint, &RegionSet::Any, TunnelUse::Always, timeout).await
}

/// Sends a probe, and sends it again while the server closes the connection without an answer.
///
/// A server that is crashing still accepts connections for a moment, and its port refuses them right afterwards. Without
/// the repetition the proof of the crash would come with the next probe, after a request's retry was sent.
async fn probe_until_answered(
    node: &Rc<Node>,
    probe: &DueProbe,
    comparison: &Comparison,
) -> ProbeResult {
    for _ in 0..MAX_PROBE_TRIES {
        if let Some(result) = send_probe(node, probe, comparison).await {
            return result;
        }
        tokio::time::sleep(CLOSED_PROBE_DELAY).await;
    }
    ProbeResult::NoAnswer
}

async fn send_probe(
    node: &Rc<Node>,
    probe: &DueProbe,
    comparison: &Comparison,
) -> Option<ProbeResult> {
    let entry = {
        let state = node.state.borrow();
        state.pool.server(&probe.server)?.entry.clone()
    };
    let (mut connection, path) = match open_probed(node, probe, &entry, comparison).await {
        Ok(opened) => opened,
        Err(error) if error.is_refusal() => return Some(ProbeResult::Refused),
        Err(error) if error.rest().is_some() => return Some(ProbeResult::NotSent),
        Err(_) => return None,
    };
    let permit = SendPermit::acquire(node, &probe.server, Purpose::Probe).await;
    if permit.and_then(|permit| permit.redeem(&path)).is_err() {
        return Some(ProbeResult::NotSent);
    }
    let request = format!(
        "GET {} HTTP/1.1\r\nhost: {}\r\n\r\n",
        probe.health_path, probe.address
    );
    let sent_at = node.now();
    connection.write(request.as_bytes()).await.ok()?;
    let head = connection.read_head().await.ok()?;
    let mut body = BodyReader::new(head.body);
    let read = connection.read_body(&mut body, MAX_BODY_BYTES).await;
    let report = server_statements::decode(node.adapter.headers(), &probe.server, &head);
    if report.is_other_server {
        return Some(ProbeResult::OtherServer);
    }
    let source = StatementSource::Probe;
    server_statements::record(node, &probe.server, &path, sent_at, &report, source);
    if head.status != StatusCode::OK {
        return Some(ProbeResult::Unhealthy);
    }
    if read.is_ok() && head.is_keep_alive && connection.is_reusable() {
        let now = node.now();
        let mut idle = node.idle.borrow_mut();
        idle.keep(now, &probe.server, connection, head.idle_timeout_s, path);
    }
    Some(ProbeResult::Healthy {
        warmup_left_ms: report.warmup_left_ms.unwrap_or_default(),
    })
}
