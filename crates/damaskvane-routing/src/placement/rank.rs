//! Hashes that rank the regions and servers of an object equally on every instance.
//!
//! An object is the item that a client's request names.

use damaskvane_core::ids;
use xxhash_rust::xxh3;

/// Returns the hash of an object's name within a route and service.
///
/// A server is faster for an object only on the route for which it has handled the object recently: a request of
/// another route for the same object takes its full time. Without the route in the hash, the measured times of two
/// routes would mix, and both routes would load the same server without any gain.
#[must_use]
pub fn object_hash(service: &ids::ServiceId, route: &str, object: &str) -> u64 {
    let service = xxh3::xxh3_64(service.as_str().as_bytes());
    let route = xxh3::xxh3_64_with_seed(route.as_bytes(), service);
    xxh3::xxh3_64_with_seed(object.as_bytes(), route)
}

/// Returns the position of an object, given by its hash, on the consistent hash rings of servers.
#[must_use]
pub(super) const fn position(object: u64) -> u32 {
    (object >> 32) as u32
}

/// Returns an object hash for a request that names no object, from a random number between 0 and 1.
#[must_use]
pub(super) fn from_random(random: f64) -> u64 {
    xxh3::xxh3_64(&random.to_bits().to_le_bytes())
}

/// Returns the score of a region for an object; the region with the highest score is the object's home.
///
/// This is weighted rendezvous hashing: each region is the home of a share of objects in proportion to its weight,
/// and a region that joins or leaves moves only the objects that it gains or loses.
#[must_use]
pub(super) fn score(object: u64, name: &str, weight: f64) -> f64 {
    -weight / uniform(object, name).ln()
}

/// Returns a number between 0 and 1, both exclusive, that depends only on the object and the name.
#[must_use]
pub(super) fn uniform(object: u64, name: &str) -> f64 {
    let hash = xxh3::xxh3_64_with_seed(name.as_bytes(), object);
    // An f64 holds 53 bits exactly.
    ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64
}
