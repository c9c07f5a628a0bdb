//! Starts the threads of an entry instance, runs until a request to stop, and stops gracefully.
//!
//! ```no_run
//! use damaskvane_entry::{process, settings};
//!
//! process::run(&settings::EntrySettings::default())?;
//! # Ok::<(), process::StartError>(())
//! ```

mod error;
mod ready;
mod settle;
mod stop;

use core::future;
use core::time::Duration;
use std::fs;
use std::io;
use std::net;
use std::sync::Arc;
use std::thread;

use damaskvane_dispatch::home;
use damaskvane_objects::{api, http};
use damaskvane_peer::{settings as peer_settings, transport};
use damaskvane_telemetry::{counters, logging};
pub use error::StartError;
use slog::{error, info, o};

use crate::client_api::{binding, listener};
use crate::clock;
use crate::control;
use crate::engine_thread;
use crate::exchange;
use crate::exchange_pool;
use crate::health_reports;
use crate::inbox;
use crate::operator_api::{self, status};
use crate::peers;
use crate::serving;
use crate::settings;
use crate::store;

/// Runs an entry instance until SIGTERM or SIGINT, until another instance fences it (marks it in the
/// platform's list as replaced), or until it can't accept clients. Then stops it gracefully.
///
/// # Errors
///
/// Fails if an address can't be bound, the credential file or `seed_peers` is invalid, or the system refuses
/// a thread or a socket.
pub fn run(settings: &settings::EntrySettings) -> Result<(), StartError> {
    let logger = logging::logger("damaskvane-entry", settings.log_level).new(o!(
        logging::field::INSTANCE => settings.instance.to_string(),
        logging::field::AVAILABILITY_ZONE => settings.availability_zone.to_string(),
    ));
    let (stop_sender, stop_requests) = flume::unbounded();
    stop::register(stop_sender.clone())?;
    let listener_stop = stop_sender.clone();
    let me = home::Home::new(settings.instance.clone(), clock::incarnation());
    let serving = Arc::new(serving::Serving::new(
        counters(settings)?,
        format!("{}-{}", me.instance, me.incarnation),
    ));
    let clients = bind(&settings.client_address)?;
    let client_address = clients.local_address().map_err(StartError::Thread)?;
    let (transport, received) = listen_for_peers(settings, &me)?;
    let peers = Arc::new(peers::Peers::new(transport));
    let status = status::Source {
        home: me.clone(),
        availability_zone: settings.availability_zone.clone(),
        region: settings.region.clone(),
        peers: Arc::clone(&peers),
        leaving: Arc::default(),
        published: status::Published::default(),
    };
    let (engine, engine_inbox) = flume::unbounded();
    let operator_listener = operator_api::start(
        settings,
        Arc::clone(&serving),
        status.clone(),
        engine.clone(),
    )
    .map_err(|error| StartError::Listen {
        key: "operator_address",
        address: settings.operator_address.clone(),
        error: error.to_string(),
    })?;
    let record = api::InstanceRecord {
        instance: me.instance.clone(),
        availability_zone: settings.availability_zone.clone(),
        region: settings.region.clone(),
        incarnation: me.incarnation,
        client_address,
        peer_address: peers.local_address().get(),
        operator_address: operator_listener,
        leaving: false,
        fenced: false,
        goes_on_alone: false,
    };
    let (control, control_inbox) = flume::unbounded();
    start_engine(
        settings,
        &status,
        &serving,
        &engine,
        engine_inbox,
        &peers,
        &logger,
    )?;
    start_control(
        control::ControlParts {
            record: record.clone(),
            settings: settings.clone(),
            seeds: peers::Seeds::parse(&settings.seed_peers).map_err(StartError::Seeds)?,
            serving: Arc::clone(&serving),
            engine: engine.clone(),
            peers: Arc::clone(&peers),
            store: start_store(settings, &serving, &control)?,
            status,
            health: health_reports::start(engine.clone()).map_err(StartError::Thread)?,
            stop: stop_sender,
            own_inbox: control.clone(),
            logger: logger.clone(),
        },
        control_inbox,
    )?;
    forward_peer_messages(received, control.clone())?;
    start_client_listener(clients, settings, &serving, &engine, listener_stop, &logger)?;
    ready::announce(&record);
    info!(logger, "serving"; "client_address" => client_address.to_string());
    stop::wait_and_stop(
        &stop_requests,
        &control,
        &engine,
        &serving,
        settings,
        &logger,
    );
    Ok(())
}

fn counters(settings: &settings::EntrySettings) -> Result<counters::Counters, StartError> {
    if settings.statsd_address.is_empty() {
        return Ok(counters::Counters::local());
    }
    let listen_error = |error: String| StartError::Listen {
        key: "statsd_address",
        address: settings.statsd_address.clone(),
        error,
    };
    let address: net::SocketAddr = settings
        .statsd_address
        .parse()
        .map_err(|error: net::AddrParseError| listen_error(error.to_string()))?;
    counters::Counters::to_statsd(address).map_err(|error| listen_error(error.to_string()))
}

fn bind(address: &str) -> Result<binding::BoundAddress, StartError> {
    binding::BoundAddress::bind(address).map_err(|error| StartError::Listen {
        key: "client_address",
        address: address.to_owned(),
        error: error.to_string(),
    })
}

fn listen_for_peers(
    settings: &settings::EntrySettings,
    me: &home::Home,
) -> Result<
    (
        transport::Transport<crate::wire::WireMessage>,
        flume::Receiver<transport::Received<crate::wire::WireMessage>>,
    ),
    StartError,
> {
    let listen_error = |error: String| StartError::Listen {
        key: "peer_address",
        address: settings.peer_address.clone(),
        error,
    };
    let listen_address = settings.peer_address.parse().map_err(
        |error: damaskvane_peer::address::ParseAddressError| listen_error(error.to_string()),
    )?;
    transport::Transport::listen(peer_settings::PeerSettings {
        listen_address,
        instance: me.instance.clone(),
        incarnation: me.incarnation,
        ..peer_settings::PeerSettings::default()
    })
    .map_err(|error| listen_error(error.to_string()))
}

fn start_engine(
    settings: &settings::EntrySettings,
    status: &status::Source,
    serving: &Arc<serving::Serving>,
    exchange_results: &flume::Sender<inbox::Input>,
    inbox: flume::Receiver<inbox::Input>,
    peers: &Arc<peers::Peers>,
    logger: &slog::Logger,
) -> Result<(), StartError> {
    let limits = exchange::ExchangeLimits {
        response_limit_bytes: settings.body_limit_bytes,
        ..exchange::ExchangeLimits::default()
    };
    let pool = exchange_pool::ExchangePool::new(
        settings.exchange_limit,
        limits,
        serving.clock,
        exchange_results.clone(),
        logger.clone(),
    );
    let engine = engine_thread::EngineThread::new(
        status.home.clone(),
        Arc::clone(serving),
        inbox,
        pool,
        Arc::clone(peers),
        status.clone(),
        logger.clone(),
    );
    spawn("engine", move || engine.run())
}

fn start_store(
    settings: &settings::EntrySettings,
    serving: &Arc<serving::Serving>,
    control: &flume::Sender<control::ControlInput>,
) -> Result<store::Store, StartError> {
    let token = read_token(&settings.token_file)?;
    let platform = http::PlatformSettings::new(settings.platform_address.clone(), token);
    let api = Arc::new(http::HttpObjectApi::new(platform));
    let control = control.clone();
    store::Store::start(&api, serving, move |report| {
        let _ = control.send(control::ControlInput::Store(report));
    })
    .map_err(StartError::Thread)
}

fn read_token(path: &str) -> Result<damaskvane_objects::credential::Token, StartError> {
    let token_error = |error: String| StartError::Token {
        path: path.to_owned(),
        error,
    };
    let text = fs::read_to_string(path).map_err(|error| token_error(error.to_string()))?;
    text.trim()
        .parse()
        .map_err(|error: damaskvane_objects::credential::ParseTokenError| {
            token_error(error.to_string())
        })
}

fn start_control(
    parts: control::ControlParts,
    inbox: flume::Receiver<control::ControlInput>,
) -> Result<(), StartError> {
    let control = control::Control::new(parts);
    spawn("control", move || control.run(&inbox))
}

fn forward_peer_messages(
    received: flume::Receiver<transport::Received<crate::wire::WireMessage>>,
    control: flume::Sender<control::ControlInput>,
) -> Result<(), StartError> {
    spawn("peers", move || {
        while let Ok(message) = received.recv() {
            let _ = control.send(control::ControlInput::Peer(Box::new(message)));
        }
    })
}

fn start_client_listener(
    clients: binding::BoundAddress,
    settings: &settings::EntrySettings,
    serving: &Arc<serving::Serving>,
    inbox: &flume::Sender<inbox::Input>,
    stop: flume::Sender<()>,
    logger: &slog::Logger,
) -> Result<(), StartError> {
    let listener_logger = logger.clone();
    let api = Arc::new(listener::ClientApi {
        serving: Arc::clone(serving),
        inbox: inbox.clone(),
        settings: settings.clone(),
        logger: logger.clone(),
    });
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .thread_name("clients")
        .enable_all()
        .build()
        .map_err(StartError::Thread)?;
    let settle = Duration::from_millis(settings.settle_ms);
    let serving = Arc::clone(serving);
    spawn("client-listener", move || {
        settle::wait(&serving, settle);
        let served = clients
            .listen()
            .and_then(|listener| runtime.block_on(serve_until_closed(listener, api, &serving)));
        if let Err(error) = served {
            // Two processes can bind one address while neither listens. The second one would announce its
            // address and never receive a client's connection, so it stops.
            error!(listener_logger, "client listener failed; stopping"; "reason" => error.to_string());
            let _ = stop.send(());
        }
    })
}

/// Accepts clients until the last phase of a planned stop, then serves only the clients already connected,
/// until the process ends. The end of the process would interrupt the request of a client that was accepted
/// later.
async fn serve_until_closed(
    listener: net::TcpListener,
    api: Arc<listener::ClientApi>,
    serving: &serving::Serving,
) -> io::Result<()> {
    tokio::select! {
        served = listener::serve(listener, api) => return served,
        () = serving.accepting_stopped() => {}
    }
    future::pending().await
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> Result<(), StartError> {
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(run)
        .map(|_| ())
        .map_err(StartError::Thread)
}
