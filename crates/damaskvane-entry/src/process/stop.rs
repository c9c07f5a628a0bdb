//! Waits for a request to stop, then stops without interrupting requests.
//!
//! ```text
//! SIGTERM -> out of lookup responses -> one lookup TTL -> running requests end -> exit
//! ```

use core::time::Duration;
use std::thread;
use std::time::Instant;

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator;
use slog::{info, warn};

use crate::control;
use crate::inbox;
use crate::process::error::StartError;
use crate::serving;
use crate::settings;

const POLL_PERIOD: Duration = Duration::from_millis(50);

/// Time for which connected clients are still served after the instance stops accepting new ones.
const LAST_RESPONSES_PERIOD: Duration = Duration::from_millis(250);

/// Maximum time after [`LAST_RESPONSES_PERIOD`] to wait for the requests in progress to end, on this
/// instance or on its successor, the instance that takes them over.
const LAST_REQUESTS_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts a thread that turns SIGTERM and SIGINT into requests to stop.
///
/// # Errors
///
/// Fails if the signal handlers can't be registered or the thread can't be started.
pub(super) fn register(stop: flume::Sender<()>) -> Result<(), StartError> {
    let mut signals = iterator::Signals::new([SIGTERM, SIGINT]).map_err(StartError::Thread)?;
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            for _ in signals.forever() {
                let _ = stop.send(());
            }
        })
        .map(|_| ())
        .map_err(StartError::Thread)
}

/// Blocks until a request to stop arrives. Then starts the planned stop, waits until all requests have
/// finished or `stop_timeout_ms` has passed, and ends the engine's thread.
pub(super) fn wait_and_stop(
    stop: &flume::Receiver<()>,
    control: &flume::Sender<control::ControlInput>,
    engine: &flume::Sender<inbox::Input>,
    serving: &serving::Serving,
    settings: &settings::EntrySettings,
    logger: &slog::Logger,
) {
    let _ = stop.recv();
    info!(logger, "stop requested; leaving");
    let leave_start = Instant::now();
    let _ = control.send(control::ControlInput::Leave);
    let stop_timeout = Duration::from_millis(settings.stop_timeout_ms);
    while !serving.is_drained() {
        if leave_start.elapsed() >= stop_timeout {
            warn!(logger, "stop timeout passed with requests unfinished"; "reason" => "stop_timeout");
            break;
        }
        thread::sleep(POLL_PERIOD);
    }
    // The engine continues for a moment, so that the last clients get a response from this instance or its
    // successor.
    serving.stop_accepting();
    thread::sleep(LAST_RESPONSES_PERIOD);
    let close_time = Instant::now();
    while serving.is_busy() && close_time.elapsed() < LAST_REQUESTS_TIMEOUT {
        thread::sleep(POLL_PERIOD);
    }
    let _ = engine.send(inbox::Input::Stop);
    info!(logger, "stopped"; "drain_ms" => u64::try_from(leave_start.elapsed().as_millis()).unwrap_or(u64::MAX));
    thread::sleep(POLL_PERIOD);
}
