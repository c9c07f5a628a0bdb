//! Waits until clients can be let in.
//!
//! ```text
//! start -> older look-up answers have lapsed -> a slot can be found, or the longest wait is over
//! ```

use core::time::Duration;
use std::thread;
use std::time::Instant;

use crate::serving;

const POLL: Duration = Duration::from_millis(20);

/// An instance that never finds a slot lets clients in all the same: they then get a reason.
const LONGEST_WAIT: Duration = Duration::from_secs(15);

/// Blocks for `settle`, then until a slot can be found; no time at all lets clients in at once.
///
/// The only instance of a zone waits after its start until whatever its predecessor lent has lapsed.
/// Clients that it let in before would wait in its queue for nothing, while a refused connection sends
/// them to another instance at once.
pub(super) fn wait(serving: &serving::Serving, settle: Duration) {
    if settle.is_zero() {
        return;
    }
    thread::sleep(settle);
    let began = Instant::now();
    while !serving.is_ready() && began.elapsed() < LONGEST_WAIT {
        thread::sleep(POLL);
    }
}
