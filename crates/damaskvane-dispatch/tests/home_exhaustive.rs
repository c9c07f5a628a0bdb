//! A search through every order of events for small bounds: 2 entry instances, 2 keys, 3 tries, one
//! restart, one handover and one wait past the window, with messages late, crossed and repeated.

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

struct Digest(DefaultHasher);

impl fmt::Write for Digest {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

fn digest(world: &World) -> u64 {
    let mut digest = Digest(DefaultHasher::new());
    fmt::Write::write_fmt(&mut digest, format_args!("{world:?}")).expect("no failure");
    digest.0.finish()
}

/// Breadth first; a permit can't be copied, so a state is reached again by replaying its path.
fn search(bounds: Bounds) -> usize {
    let mut seen = collections::HashSet::new();
    let mut queue = collections::VecDeque::from([Vec::new()]);
    while let Some(path) = queue.pop_front() {
        let world = replay(&path, bounds);
        assert_eq!(world.violation(), None, "after {path:?}");
        if !seen.insert(digest(&world)) {
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

/// The home is killed before, during or after a dispatch, and restarted; the tries reach either
/// instance in any order. A booking would stand twice, or be told *not run* and stand.
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

/// The home leaves and hands over while tries and outcomes are under way, and messages arrive late,
/// crossed and twice. One key: keys share no record, and two take minutes.
#[test]
fn at_most_once_holds_in_every_order_around_a_handover() {
    let bounds = Bounds {
        handover: true,
        keys: 1,
        ..Bounds::default()
    };
    assert!(search(bounds) > 1_000);
}

/// The outcomes of the tries are dropped after their window while late tries are still under way.
#[test]
fn at_most_once_holds_in_every_order_around_the_window() {
    let bounds = Bounds {
        wait: true,
        keys: 2,
        ..Bounds::default()
    };
    assert!(search(bounds) > 1_000);
}
