//! Rendezvous hash that selects the owner of a backend server.
//!
//! The owner is the instance that decides how many requests each instance may run on the server. A key
//! is any string to which an instance is assigned, such as the id of a backend server or of a zone.
//!
//! Every instance computes the same owner from the same candidates, without exchanging messages. When a
//! candidate is added or removed, only the backend servers that it gains or loses change their owner.
//!
//! ```
//! use damaskvane_core::ids;
//! use damaskvane_membership::ownership;
//!
//! let candidates: [ids::InstanceId; 2] = ["sask-a-1".parse()?, "sask-a-2".parse()?];
//! let owner = ownership::owner("rider-desk-1", &candidates);
//! assert!(owner.is_some());
//! # Ok::<(), ids::ParseIdError>(())
//! ```

use damaskvane_core::ids;

/// Byte between the key and the candidate's id in the hash input. No identifier contains this byte, so
/// different pairs have different inputs.
const SEPARATOR: &[u8] = &[0];

fn weight(key: &str, candidate: &ids::InstanceId) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(SEPARATOR);
    hasher.update(candidate.as_str().as_bytes());
    *hasher.finalize().as_bytes()
}

/// Returns the candidate that owns `key`, or `None` if there are no candidates.
#[must_use]
pub fn owner<'a>(
    key: &str,
    candidates: impl IntoIterator<Item = &'a ids::InstanceId>,
) -> Option<ids::InstanceId> {
    candidates
        .into_iter()
        .max_by_key(|candidate| weight(key, candidate))
        .cloned()
}

/// Returns all candidates in an order that starts with the owner of `key`.
///
/// Each further candidate would own `key` if all candidates before it were removed.
#[must_use]
pub fn ranking<'a>(
    key: &str,
    candidates: impl IntoIterator<Item = &'a ids::InstanceId>,
) -> Vec<ids::InstanceId> {
    let mut ranked: Vec<&ids::InstanceId> = candidates.into_iter().collect();
    ranked.sort_by_cached_key(|candidate| core::cmp::Reverse(weight(key, candidate)));
    ranked.into_iter().cloned().collect()
}
