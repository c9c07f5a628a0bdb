//! Samples of requested objects that can be merged across instances.
//!
//! An object is the item that a client's request names; samples identify it by a hash.

use std::collections::BTreeMap;

use xxhash_rust::xxh3;

/// A 32-bit hash that identifies a route in messages. Routes with the same key share a popularity decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteKey(u32);

impl RouteKey {
    /// Returns the key of the route with this name.
    #[must_use]
    pub fn of(route: &str) -> Self {
        // The lower half of the hash is uniformly distributed too.
        Self(xxh3::xxh3_64(route.as_bytes()) as u32)
    }

    /// Returns the key as a number, for use in a message.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.0
    }

    /// Returns the key whose number was received in a message.
    #[must_use]
    pub const fn from_wire(key: u32) -> Self {
        Self(key)
    }
}

/// Request counts of one route by object, for a share of all objects that is selected by the objects' hashes.
///
/// Every instance omits the same objects, so the counts of several instances add up, however unevenly the requests
/// for an object are distributed over the instances. The sampled share is halved until the sample is small enough.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ObjectSample {
    /// Number of times that the sampled share was halved.
    halvings: u8,
    /// Number of requests for each object, by the object's hash.
    requests: BTreeMap<u64, u32>,
}

/// Maximum number of halvings: after it, a sample covers one object in a billion and is empty in practice.
const MAX_HALVINGS: u8 = 30;

impl ObjectSample {
    /// Returns the sample whose fields were received in a message. Objects outside the sampled share are omitted.
    #[must_use]
    pub fn from_wire(halvings: u8, objects: impl IntoIterator<Item = (u64, u32)>) -> Self {
        let halvings = halvings.min(MAX_HALVINGS);
        let objects = objects.into_iter();
        let sampled = objects.filter(|(object, _)| is_sampled(*object, halvings));
        Self {
            halvings,
            requests: sampled.collect(),
        }
    }

    /// Returns the number of halvings n; the sample covers one in 2^n objects.
    #[must_use]
    pub const fn halvings(&self) -> u8 {
        self.halvings
    }

    /// Returns the sampled objects, each as its hash with its number of requests.
    pub fn objects(&self) -> impl Iterator<Item = (u64, u32)> {
        self.requests
            .iter()
            .map(|(object, count)| (*object, *count))
    }

    /// Returns the number of distinct objects in the sample.
    #[must_use]
    pub fn distinct(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of requests for all sampled objects.
    #[must_use]
    pub fn requests(&self) -> u32 {
        self.requests.values().sum()
    }

    /// Returns whether the sample holds no request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Counts a request, and halves the sample while it holds more than `max_objects` objects.
    pub(super) fn record(&mut self, object: u64, max_objects: usize) {
        self.add(object, 1);
        self.shrink(max_objects);
    }

    /// Adds the sample of another instance, and halves the sum while it holds more than `max_objects` objects.
    pub(super) fn merge(&mut self, other: &Self, max_objects: usize) {
        while self.halvings < other.halvings {
            self.halve();
        }
        for (object, count) in other.objects() {
            self.add(object, count);
        }
        self.shrink(max_objects);
    }

    fn add(&mut self, object: u64, count: u32) {
        if is_sampled(object, self.halvings) {
            let requests = self.requests.entry(object).or_default();
            *requests = requests.saturating_add(count);
        }
    }

    fn shrink(&mut self, max_objects: usize) {
        while self.requests.len() > max_objects && self.halvings < MAX_HALVINGS {
            self.halve();
        }
    }

    fn halve(&mut self) {
        self.halvings += 1;
        let halvings = self.halvings;
        self.requests
            .retain(|object, _| is_sampled(*object, halvings));
    }
}

/// Returns whether an object is among the sampled ones, by the lower half of its hash: the upper half places objects on
/// servers, and the lower half is independent of it.
fn is_sampled(object: u64, halvings: u8) -> bool {
    (object as u32).trailing_zeros() >= u32::from(halvings)
}
