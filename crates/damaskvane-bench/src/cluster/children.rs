//! The processes that this one started and has not reaped.
//!
//! A bench that is told to stop would otherwise end at once and leave its programs running, which then
//! use the machine unseen and falsify every later figure.
//!
//! ```
//! use damaskvane_bench::cluster::children;
//!
//! children::end_with_this_process()?;
//! # Ok::<(), std::io::Error>(())
//! ```

use std::collections::BTreeSet;
use std::io;
use std::process;
use std::sync::{Mutex, PoisonError};
use std::thread;

/// The exit code after a signal.
const EXIT_SIGNAL: i32 = 1;

static CHILDREN: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

/// Notes a process that was started.
pub(super) fn add(id: u32) {
    CHILDREN
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .insert(id);
}

/// Forgets a process that was reaped; its id may belong to another from now on.
pub(super) fn remove(id: u32) {
    CHILDREN
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .remove(&id);
}

/// On SIGTERM or SIGINT, kills every process that was started, by its id, and ends this one.
///
/// # Errors
///
/// The signals can't be caught.
pub fn end_with_this_process() -> io::Result<()> {
    let mut signals = signal_hook::iterator::Signals::new([
        signal_hook::consts::SIGTERM,
        signal_hook::consts::SIGINT,
    ])?;
    thread::spawn(move || {
        if signals.forever().next().is_some() {
            kill_all();
            process::exit(EXIT_SIGNAL);
        }
    });
    Ok(())
}

/// A process that is noted here is not reaped, so its id can't belong to another.
fn kill_all() {
    let children = CHILDREN.lock().unwrap_or_else(PoisonError::into_inner);
    for id in children.iter().filter_map(|id| i32::try_from(*id).ok()) {
        if let Some(id) = rustix::process::Pid::from_raw(id) {
            let _ = rustix::process::kill_process(id, rustix::process::Signal::KILL);
        }
    }
}
