//! Waits for the signal to stop, then stops without cutting work.
//!
//! ```text
//! SIGTERM -> out of look-up answers -> one look-up TTL -> what runs ends -> exit
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

const POLL: Duration = Duration::from_millis(50);

/// How long clients that are still connected are answered after no more are let in.
const LAST_ANSWERS: Duration = Duration::from_millis(250);

/// How long what they asked for may still run, here or at the successor.
const LAST_WORK: Duration = Duration::from_secs(2);

/// Turns SIGTERM and SIGINT into requests to stop.
///
/// # Errors
///
/// Fails if the system refuses.
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

/// Blocks until a request to stop, then leaves and waits until nothing runs or the time is over.
pub(super) fn wait_and_stop(
    stop: &flume::Receiver<()>,
    control: &flume::Sender<control::ControlInput>,
    engine: &flume::Sender<inbox::Input>,
    serving: &serving::Serving,
    settings: &settings::EntrySettings,
    logger: &slog::Logger,
) {
    let _ = stop.recv();
    info!(logger, "leaving");
    let began = Instant::now();
    let _ = control.send(control::ControlInput::Leave);
    let longest = Duration::from_millis(settings.stop_timeout_ms);
    while !serving.is_drained() {
        if began.elapsed() >= longest {
            warn!(logger, "stopped with work unfinished"; "reason" => "stop_timeout");
            break;
        }
        thread::sleep(POLL);
    }
    // The engine goes on for a moment: who came in last is answered, by this instance or the successor.
    serving.close_clients();
    thread::sleep(LAST_ANSWERS);
    let closed = Instant::now();
    while serving.is_busy() && closed.elapsed() < LAST_WORK {
        thread::sleep(POLL);
    }
    let _ = engine.send(inbox::Input::Stop);
    info!(logger, "stopped"; "drain_ms" => u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX));
    thread::sleep(POLL);
}
