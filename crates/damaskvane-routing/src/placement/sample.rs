//! A sample of the objects that are asked for, which instances can put together.

use std::collections::BTreeMap;

use xxhash_rust::xxh3;

/// Names a route in a few bytes. Two routes that share a key are judged as one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteKey(u32);

impl RouteKey {
    /// The key of a route.
    #[must_use]
    pub fn of(route: &str) -> Self {
        // The lower half is as evenly spread as the whole.
        Self(xxh3::xxh3_64(route.as_bytes()) as u32)
    }

    /// The key, for messages.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.0
    }

    /// A key that came in a message.
    #[must_use]
    pub const fn from_wire(key: u32) -> Self {
        Self(key)
    }
}

/// Requests of one route by object, for a part of all objects that is chosen by their hash.
///
/// Every instance leaves out the same objects, so that the counts of several instances add up to those of all of
/// them, however often one object is asked for here or there. The part halves as often as it takes to stay small.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ObjectSample {
    /// How often the part was halved.
    halvings: u8,
    requests: BTreeMap<u32, u32>,
}

/// Most halvings: a part of one object in a billion holds none any more.
const MOST_HALVINGS: u8 = 30;

impl ObjectSample {
    /// A sample that came in a message.
    #[must_use]
    pub fn from_wire(halvings: u8, objects: impl IntoIterator<Item = (u32, u32)>) -> Self {
        let halvings = halvings.min(MOST_HALVINGS);
        let objects = objects.into_iter();
        let kept = objects.filter(|(object, _)| is_in_part(*object, halvings));
        Self {
            halvings,
            requests: kept.collect(),
        }
    }

    /// How often the part of all objects was halved.
    #[must_use]
    pub const fn halvings(&self) -> u8 {
        self.halvings
    }

    /// The objects with how often they were asked for.
    pub fn objects(&self) -> impl Iterator<Item = (u32, u32)> {
        self.requests
            .iter()
            .map(|(object, count)| (*object, *count))
    }

    /// Different objects.
    #[must_use]
    pub fn different(&self) -> usize {
        self.requests.len()
    }

    /// Requests for them.
    #[must_use]
    pub fn requests(&self) -> u32 {
        self.requests.values().sum()
    }

    /// Whether nothing was asked for.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Notes a request, and keeps at most so many objects.
    pub(super) fn note(&mut self, object: u64, most: usize) {
        // The upper half places objects on servers; the lower half is independent of it.
        self.add(object as u32, 1);
        self.shrink(most);
    }

    /// Adds another instance's sample, and keeps at most so many objects.
    pub(super) fn merge(&mut self, other: &Self, most: usize) {
        while self.halvings < other.halvings {
            self.halve();
        }
        for (object, count) in other.objects() {
            self.add(object, count);
        }
        self.shrink(most);
    }

    fn add(&mut self, object: u32, count: u32) {
        if is_in_part(object, self.halvings) {
            let requests = self.requests.entry(object).or_default();
            *requests = requests.saturating_add(count);
        }
    }

    fn shrink(&mut self, most: usize) {
        while self.requests.len() > most && self.halvings < MOST_HALVINGS {
            self.halve();
        }
    }

    fn halve(&mut self) {
        self.halvings += 1;
        let halvings = self.halvings;
        self.requests
            .retain(|object, _| is_in_part(*object, halvings));
    }
}

fn is_in_part(object: u32, halvings: u8) -> bool {
    object.trailing_zeros() >= u32::from(halvings)
}
