//! Starts an entry instance's process, reloads its settings and stops it.

use core::time::Duration;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use damaskvane_core::ids;
use damaskvane_telemetry::settings;
use tokio::signal::unix::{SignalKind, signal};

use crate::adapter::Adapter;
use crate::clients::{self, ListenerKind};
use crate::metrics::Metrics;
use crate::node::Node;
use crate::settings::GatewaySettings;
use crate::{crashes, peer_streams, peers, probes, reach, stop, store};

/// Interval at which the settings file is read again, since the file may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between two log lines on costs: transferred bytes, opened connections and calls to the store.
const COSTS_INTERVAL: Duration = Duration::from_secs(5);

/// Errors that end an instance's process.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum ProcessError {
    /// {0}
    Settings(#[from] settings::SettingsError),
    /// can't listen on address {address} for {purpose}: {error}; check the address in the settings
    Listen {
        /// Address from the settings.
        address: std::net::SocketAddr,
        /// What the listener serves.
        purpose: &'static str,
        /// Error of the operating system.
        error: io::Error,
    },
    /// the operating system refused a resource of the process: {0}
    System(#[from] io::Error),
    /// two metrics have the same name: {0}
    Metrics(#[from] prometheus::Error),
}

/// Runs an instance until SIGTERM or SIGINT is received and the planned stop is complete.
///
/// # Errors
///
/// Fails if the settings are invalid, an address can't be used, or the operating system refuses a resource.
pub fn run(adapter: Box<dyn Adapter>, settings_file: &Path) -> Result<(), ProcessError> {
    let settings = GatewaySettings::load(settings_file)?;
    let log =
        damaskvane_telemetry::logging::stdout_logger("damaskvane-gateway", settings.log_level)
            .new(slog::o!("instance" => settings.instance.to_string()));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let metrics = Metrics::new()?;
    let node = Rc::new(Node::new(adapter, settings, incarnation(), log, metrics));
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, run_node(node, settings_file.to_owned()))
}

async fn run_node(node: Rc<Node>, settings_file: PathBuf) -> Result<(), ProcessError> {
    let zone = node.settings().zone.to_string();
    slog::info!(node.log.log, "start"; "incarnation" => node.incarnation.get(), "zone" => zone,
        "version" => env!("CARGO_PKG_VERSION"));
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let failures = start(&node);
    tokio::task::spawn_local(watch_settings(Rc::clone(&node), settings_file));
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        failure = failures.recv_async() => {
            if let Ok(failure) = failure {
                slog::error!(node.log.log, "stop"; "error" => %failure);
                return Err(failure);
            }
        }
    }
    slog::info!(node.log.log, "planned stop begins"; "requests" => node.stop.active_requests());
    stop::run(&node).await;
    slog::info!(node.log.log, "stop"; "requests" => node.stop.active_requests());
    Ok(())
}

/// Starts all tasks; returns the channel that receives an error when a listener has failed.
fn start(node: &Rc<Node>) -> flume::Receiver<ProcessError> {
    let (sender, failures) = flume::unbounded();
    let settings = node.settings();
    let listeners = [
        (
            Some(settings.client_address),
            ListenerKind::Clients,
            "clients",
        ),
        (settings.lookup_address, ListenerKind::Lookups, "look-ups"),
        (
            Some(settings.ready_address),
            ListenerKind::Ready,
            "readiness",
        ),
    ];
    for (address, service, purpose) in listeners {
        let Some(address) = address else {
            continue;
        };
        let listening = clients::listen(Rc::clone(node), address, service);
        let sender = sender.clone();
        tokio::task::spawn_local(async move {
            if let Err(error) = listening.await {
                let failure = ProcessError::Listen {
                    address,
                    purpose,
                    error,
                };
                let _ = sender.send(failure);
            }
        });
    }
    let address = settings.peer_address;
    let streams = peer_streams::serve(Rc::clone(node));
    let stream_sender = sender.clone();
    tokio::task::spawn_local(async move {
        if let Err(error) = streams.await {
            let failure = ProcessError::Listen {
                address,
                purpose: "streams of other instances",
                error,
            };
            let _ = stream_sender.send(failure);
        }
    });
    let heartbeats = peers::run(Rc::clone(node));
    tokio::task::spawn_local(async move {
        if let Err(error) = heartbeats.await {
            let failure = ProcessError::Listen {
                address,
                purpose: "heartbeats",
                error,
            };
            let _ = sender.send(failure);
        }
    });
    for collection in store::FOLLOWED_COLLECTIONS {
        tokio::task::spawn_local(store::follow(Rc::clone(node), collection));
    }
    tokio::task::spawn_local(store::run_health_checks(Rc::clone(node)));
    tokio::task::spawn_local(store::subscribe_to_relay(Rc::clone(node)));
    tokio::task::spawn_local(store::watch_freshness(Rc::clone(node)));
    tokio::task::spawn_local(store::read_revisions(Rc::clone(node)));
    tokio::task::spawn_local(store::prove_configuration(Rc::clone(node)));
    tokio::task::spawn_local(store::register(Rc::clone(node)));
    tokio::task::spawn_local(probes::run(Rc::clone(node)));
    tokio::task::spawn_local(reach::watch(Rc::clone(node)));
    tokio::task::spawn_local(crashes::maintain_records(Rc::clone(node)));
    tokio::task::spawn_local(log_costs(Rc::clone(node)));
    if let Some(address) = settings.metrics_address {
        tokio::task::spawn_local(serve_metrics(Rc::clone(node), address));
    }
    failures
}

/// Periodically logs the total costs since the start of the process, until the process ends.
async fn log_costs(node: Rc<Node>) {
    loop {
        tokio::time::sleep(COSTS_INTERVAL).await;
        slog::info!(node.log.log, "costs"; "figures" => node.metrics.cost_summary());
    }
}

/// Serves the metrics if the metrics port is free; otherwise the process continues without metrics.
///
/// The metrics port is fixed, and the platform chooses all other ports. This listener starts last: if the ports
/// collide, the process serves clients without metrics. A process that ended on the collision would end at every
/// start, on every machine.
async fn serve_metrics(node: Rc<Node>, address: std::net::SocketAddr) {
    let log = node.log.log.clone();
    if let Err(error) = clients::listen(node, address, ListenerKind::Metrics).await {
        slog::warn!(log, "metrics can't be served"; "address" => %address, "error" => %error);
    }
}

/// Returns the incarnation of this process, which identifies this start: the Unix time in milliseconds.
fn incarnation() -> ids::Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since_epoch.map_or(0, |elapsed| elapsed.as_millis());
    ids::Incarnation::new(u64::try_from(millis).unwrap_or(u64::MAX))
}

/// Reloads the settings on SIGHUP, and periodically, since the settings file may change without a signal.
async fn watch_settings(node: Rc<Node>, file: PathBuf) {
    let mut hangup = signal(SignalKind::hangup());
    if let Err(error) = &hangup {
        slog::warn!(node.log.log, "SIGHUP can't be received; settings are reloaded only periodically";
            "error" => %error);
    }
    loop {
        let hangup_received = async {
            match &mut hangup {
                Ok(hangup) => hangup.recv().await,
                Err(_) => core::future::pending().await,
            }
        };
        let is_signalled = tokio::select! {
            _ = hangup_received => true,
            () = tokio::time::sleep(SETTINGS_INTERVAL) => false,
        };
        match GatewaySettings::load(&file) {
            Ok(settings) if settings != *node.settings() => apply_settings(&node, settings),
            Ok(_) if is_signalled => slog::info!(node.log.log, "reload"; "changed" => false),
            Ok(_) => {}
            // Keeps the active settings: a file that is incomplete because it is being written is read again after the
            // interval.
            Err(error) => slog::warn!(node.log.log, "reload failed"; "error" => %error),
        }
    }
}

fn apply_settings(node: &Rc<Node>, settings: GatewaySettings) {
    slog::info!(node.log.log, "reload"; "changed" => true);
    let mut state = node.state.borrow_mut();
    state.pool.set_settings(settings.pool());
    state.placer.settings = settings.placement.clone();
    drop(state);
    node.quotas
        .pools
        .borrow_mut()
        .set_settings(settings.quota());
    node.log.set_settings(settings.decision_log);
    *node.settings.borrow_mut() = Rc::new(settings);
}
