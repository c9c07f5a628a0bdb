//! Puts all parts of an instance together.

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
use crate::{crashes, peers, probes, stop, store};

/// How often the settings file is looked at: it may change without a signal.
const SETTINGS_PERIOD: Duration = Duration::from_secs(2);

/// The pause between two lines on costs.
const COSTS_PERIOD: Duration = Duration::from_secs(5);

/// Why an instance can't run.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum ProcessError {
    /// {0}
    Settings(#[from] settings::SettingsError),
    /// the address {address} for {purpose} can't be used: {error}; check it in the settings
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// What it is for.
        purpose: &'static str,
        /// What the system said.
        error: io::Error,
    },
    /// the system refuses what the process needs: {0}
    System(#[from] io::Error),
    /// two metrics have the same name: {0}
    Metrics(#[from] prometheus::Error),
}

/// Runs an instance until it is told to stop.
///
/// # Errors
///
/// Fails if settings, addresses or the system don't allow it.
pub fn run(adapter: Box<dyn Adapter>, settings_file: &Path) -> Result<(), ProcessError> {
    let settings = GatewaySettings::load(settings_file)?;
    let log =
        damaskvane_telemetry::logging::output_logger("damaskvane-gateway", settings.log_level)
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
    slog::info!(node.log.log, "planned stop begins"; "requests" => node.stop.requests());
    stop::run(&node).await;
    slog::info!(node.log.log, "stop"; "requests" => node.stop.requests());
    Ok(())
}

/// Starts all tasks; what ends one of them for good arrives on the channel.
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
    let feeding = store::serve_feed(Rc::clone(node));
    let feed_sender = sender.clone();
    tokio::task::spawn_local(async move {
        if let Err(error) = feeding.await {
            let failure = ProcessError::Listen {
                address,
                purpose: "changes",
                error,
            };
            let _ = feed_sender.send(failure);
        }
    });
    let beating = peers::run(Rc::clone(node));
    tokio::task::spawn_local(async move {
        if let Err(error) = beating.await {
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
    tokio::task::spawn_local(store::register(Rc::clone(node)));
    tokio::task::spawn_local(probes::run(Rc::clone(node)));
    tokio::task::spawn_local(crashes::keep_records(Rc::clone(node)));
    tokio::task::spawn_local(tell_costs(Rc::clone(node)));
    if let Some(address) = settings.metrics_address {
        tokio::task::spawn_local(serve_metrics(Rc::clone(node), address));
    }
    failures
}

/// Writes a line on what the instance has caused since its start that is paid for, until the process ends.
async fn tell_costs(node: Rc<Node>) {
    loop {
        tokio::time::sleep(COSTS_PERIOD).await;
        slog::info!(node.log.log, "costs"; "figures" => node.metrics.cost_figures());
    }
}

/// Serves the metrics if their port is free; the last listener to start.
///
/// The port is fixed while the platform draws all others. Where they meet, clients are served and the
/// metrics are missing: a process that ended over it would end at every start, on every machine.
async fn serve_metrics(node: Rc<Node>, address: std::net::SocketAddr) {
    let log = node.log.log.clone();
    if let Err(error) = clients::listen(node, address, ListenerKind::Metrics).await {
        slog::warn!(log, "metrics can't be read"; "address" => %address, "error" => %error);
    }
}

/// Which start this is: the time of day, which two starts of one instance differ in.
fn incarnation() -> ids::Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since_epoch.map_or(0, |elapsed| elapsed.as_millis());
    ids::Incarnation::new(u64::try_from(millis).unwrap_or(u64::MAX))
}

/// Reads the settings again on SIGHUP, and from time to time, since they may change without a signal.
async fn watch_settings(node: Rc<Node>, file: PathBuf) {
    let mut hangup = signal(SignalKind::hangup());
    if let Err(error) = &hangup {
        slog::warn!(node.log.log, "SIGHUP can't be received; settings are read by time only";
            "error" => %error);
    }
    loop {
        let asked = async {
            match &mut hangup {
                Ok(hangup) => hangup.recv().await,
                Err(_) => core::future::pending().await,
            }
        };
        let was_asked = tokio::select! {
            _ = asked => true,
            () = tokio::time::sleep(SETTINGS_PERIOD) => false,
        };
        match GatewaySettings::load(&file) {
            Ok(settings) if settings != *node.settings() => apply(&node, settings),
            Ok(_) if was_asked => slog::info!(node.log.log, "reload"; "changed" => false),
            Ok(_) => {}
            // The settings in force stay: a file that is being written is complete at the next look.
            Err(error) => slog::warn!(node.log.log, "reload failed"; "error" => %error),
        }
    }
}

fn apply(node: &Rc<Node>, settings: GatewaySettings) {
    slog::info!(node.log.log, "reload"; "changed" => true);
    let mut state = node.state.borrow_mut();
    state.pool.set_settings(settings.pool());
    state.placer.settings = settings.placement.clone();
    drop(state);
    node.log.set_settings(settings.decision_log);
    *node.settings.borrow_mut() = Rc::new(settings);
}
