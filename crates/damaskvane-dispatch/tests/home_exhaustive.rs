//! An exhaustive search through the orders of events within small bounds: 2 entry instances, 2 keys, 3
//! attempts, one restart, one handover and one wait beyond the retention window, with delayed, reordered and
//! duplicated messages.
//!
//! A key names one request of a client across its attempts. Its home is the instance that alone may run it
//! and that retains its outcome for the retention window.

mod support;

use std::collections;
use std::fmt;
use std::hash::{DefaultHasher, Hasher};

use support::small_world::{Action, Bounds, World};

fn replay(path: &[Action], bounds: Bounds) -> World {
    let mut world = World::new(bounds);
    for action in path {
        world.apply(*action);
    }
    world
}

struct StateHasher(DefaultHasher);

impl fmt::Write for StateHasher {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

fn state_hash(world: &World) -> u64 {
    let mut hasher = StateHasher(DefaultHasher::new());
    fmt::Write::write_fmt(&mut hasher, format_args!("{world:?}"))
        .expect("writes to a hasher succeed");
    hasher.0.finish()
}

/// Searches all reachable states breadth first and returns their number.
///
/// A dispatch permit (the right to send a key to a backend server once) can't be cloned, so each state is
/// rebuilt by replaying the actions that lead to it.
fn search(bounds: Bounds) -> usize {
    let mut seen = collections::HashSet::new();
    let mut queue = collections::VecDeque::from([Vec::new()]);
    while let Some(path) = queue.pop_front() {
        let world = replay(&path, bounds);
        assert_eq!(world.violation(), None, "after {path:?}");
        if !seen.insert(state_hash(&world)) {
            continue;
        }
        for action in world.actions() {
            let mut next = path.clone();
            next.push(action);
            queue.push_back(next);
        }
    }
    println!("{bounds:?}: {} states", seen.len());
    seen.len()
}

/// The home is killed and restarted before, during or after it sends an attempt to a backend server. The
/// attempts reach both instances in any order. A booking could run twice, or run and be reported as *not
/// run*.
#[test]
fn at_most_once_holds_in_every_order_around_a_restart() {
    let bounds = Bounds {
        restart: true,
        wait: true,
        keys: 2,
        ..Bounds::default()
    };
    assert!(search(bounds) > 1_000);
}

/// The home leaves and hands over its keys while attempts and outcomes are in transit, and messages are
/// delayed, reordered and duplicated. One key is enough, because keys share no record; a search with two keys
/// takes minutes.
#[test]
fn at_most_once_holds_in_every_order_around_a_handover() {
    let bounds = Bounds {
        handover: true,
        keys: 1,
        ..Bounds::default()
    };
    assert!(search(bounds) > 1_000);
}

/// The outcomes of keys are removed after the retention window while late attempts are in transit. A key
/// could run again as a new one.
#[test]
fn at_most_once_holds_in_every_order_around_the_window() {
    let bounds = Bounds {
        wait: true,
        keys: 2,
        ..Bounds::default()
    };
    assert!(search(bounds) > 1_000);
}
