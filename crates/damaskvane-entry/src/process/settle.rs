//! Waits after the start of the process until clients can be accepted.
//!
//! A slot is the right to run one request on a backend server.
//!
//! ```text
//! start -> cached lookup responses have expired -> requests can get a slot, or the maximum wait is over
//! ```

use core::time::Duration;
use std::thread;
use std::time::Instant;

use crate::serving;

const POLL_PERIOD: Duration = Duration::from_millis(20);

/// Maximum wait for slots. After this time clients are accepted without slots, and their requests get a
/// refusal with a reason.
const MAX_SLOT_WAIT: Duration = Duration::from_secs(15);

/// Blocks for `settle`, then until slots are granted in the zone, for at most [`MAX_SLOT_WAIT`]. Returns at
/// once if `settle` is zero.
///
/// After a restart, the only instance of a zone has no slots until the grants of its previous process have
/// expired. Requests accepted before that would wait in its queue in vain, while a refused connection sends
/// a client to another instance at once.
pub(super) fn wait(serving: &serving::Serving, settle: Duration) {
    if settle.is_zero() {
        return;
    }
    thread::sleep(settle);
    let wait_start = Instant::now();
    while !serving.is_ready() && wait_start.elapsed() < MAX_SLOT_WAIT {
        thread::sleep(POLL_PERIOD);
    }
}
