//! Holds requests that arrive in the first moments of a process, until it knows what it needs to serve them.

use core::time::Duration;
use std::rc::Rc;

use crate::clients::send_right;
use crate::node::{Node, STARTUP_MS};

/// Waits until this instance can serve requests, or its start takes too long.
pub(super) async fn until_able(node: &Rc<Node>) {
    while !is_able(node) {
        let remaining_ms = STARTUP_MS.saturating_sub(node.now().get());
        if remaining_ms == 0 {
            return;
        }
        tokio::select! {
            () = node.startup_progress.notified() => {}
            () = node.evidence.until_newer() => {}
            () = tokio::time::sleep(Duration::from_millis(remaining_ms)) => return,
        }
    }
}

/// Returns whether this instance has all that it needs to serve requests.
fn is_able(node: &Rc<Node>) -> bool {
    if !node.is_starting_up() {
        // Whatever is missing then, waiting for it doesn't help.
        return true;
    }
    let state = node.state.borrow();
    let Some(configuration) = &state.configuration else {
        return false;
    };
    let can_limit = configuration.teams().is_none() || !node.quotas.holders.borrow().is_empty();
    state.are_servers_listed && can_limit && send_right::may_serve_keys(node)
}
