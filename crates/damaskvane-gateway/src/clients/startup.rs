//! Holds requests that arrive in the first moments of a process, until it knows what it needs to serve them.

use core::time::Duration;
use std::rc::Rc;

use crate::clients::send_right;
use crate::node::{Node, STARTUP_MS};

/// Age of the process, in milliseconds, by which other instances have replied to its second heartbeat, which reaches all
/// that are listed. With the reply come the limits of servers, which the first request must keep to.
const FIRST_REPLIES_MS: u64 = 200;

/// Waits until this instance can serve requests, or its start takes too long.
pub(super) async fn until_able(node: &Rc<Node>) {
    while !is_able(node) {
        let until_ms = if knows_enough(node) {
            FIRST_REPLIES_MS
        } else {
            STARTUP_MS
        };
        let remaining_ms = until_ms.saturating_sub(node.now().get());
        if remaining_ms == 0 {
            return;
        }
        tokio::select! {
            () = node.startup_progress.notified() => {}
            () = node.evidence.until_newer() => {}
            () = tokio::time::sleep(Duration::from_millis(remaining_ms)) => {}
        }
    }
}

/// Returns whether this instance has all that it needs to serve requests.
fn is_able(node: &Rc<Node>) -> bool {
    // Whatever is missing after the start, waiting for it doesn't help.
    !node.is_starting_up() || (knows_enough(node) && has_heard_replies(node))
}

fn has_heard_replies(node: &Node) -> bool {
    let is_due = node.now().get() >= FIRST_REPLIES_MS;
    is_due || node.state.borrow().members.others().is_empty()
}

fn knows_enough(node: &Rc<Node>) -> bool {
    let state = node.state.borrow();
    let Some(configuration) = &state.configuration else {
        return false;
    };
    let can_limit = configuration.teams().is_none() || !node.quotas.holders.borrow().is_empty();
    state.is_complete() && can_limit && send_right::may_serve_keys(node)
}
