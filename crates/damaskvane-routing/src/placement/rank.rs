//! The order of an object's servers, equal on every instance.

use damaskvane_core::ids;
use xxhash_rust::xxh3;

/// The hash of an object's name within a service.
#[must_use]
pub fn object_hash(service: &ids::ServiceId, object: &str) -> u64 {
    xxh3::xxh3_64_with_seed(
        object.as_bytes(),
        xxh3::xxh3_64(service.as_str().as_bytes()),
    )
}

/// The weight of a server for an object: the highest weight is the first server.
///
/// Rendezvous hashing: a server that joins or leaves moves only the objects that it gains or loses.
#[must_use]
pub(super) fn weight(object: u64, server: &ids::BackendServerId) -> u64 {
    xxh3::xxh3_64_with_seed(server.as_str().as_bytes(), object)
}
