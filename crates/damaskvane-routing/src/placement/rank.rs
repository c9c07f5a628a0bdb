//! The order of an object's servers, equal on every instance.

use damaskvane_core::ids;
use xxhash_rust::xxh3;

/// The hash of an object's name within a route and service.
///
/// Servers remember what they did for a route, not the object as such: a request of another route for the same
/// object takes its full time. Taken for one, the two would spoil what is learned of usual times, and would
/// crowd on one server without a gain.
#[must_use]
pub fn object_hash(service: &ids::ServiceId, route: &str, object: &str) -> u64 {
    let service = xxh3::xxh3_64(service.as_str().as_bytes());
    let route = xxh3::xxh3_64_with_seed(route.as_bytes(), service);
    xxh3::xxh3_64_with_seed(object.as_bytes(), route)
}

/// An object's place on rings of servers.
#[must_use]
pub(super) const fn position(object: u64) -> u32 {
    (object >> 32) as u32
}

/// Stands for an object where a request names none, from a number between 0 and 1.
#[must_use]
pub(super) fn of_draw(draw: f64) -> u64 {
    xxh3::xxh3_64(&draw.to_bits().to_le_bytes())
}

/// The score of a region for an object: the highest score is the first one.
///
/// Weighted rendezvous hashing: each name is first for a part of the objects in proportion to its weight,
/// and one that joins or leaves moves only the objects that it gains or loses.
#[must_use]
pub(super) fn score(object: u64, name: &str, weight: f64) -> f64 {
    -weight / uniform(object, name).ln()
}

/// A number between 0 and 1, without its ends, that is the same for a name and an object everywhere.
#[must_use]
pub(super) fn uniform(object: u64, name: &str) -> f64 {
    let hash = xxh3::xxh3_64_with_seed(name.as_bytes(), object);
    // The upper 53 bits are what a floating-point number holds exactly.
    ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64
}
