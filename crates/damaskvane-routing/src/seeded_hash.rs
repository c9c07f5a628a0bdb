//! Hashes of names with a number as seed, which differ for short names too.

use xxhash_rust::xxh3;

/// Longest name, in bytes, that XXH3 combines with the low bits of the seed only: for such names, two names that differ
/// in their last byte have the same hashes under seeds that differ in the same bits.
const MAX_SHORT_NAME_BYTES: usize = 3;

/// Returns the hash of a name with a small number as seed, such as a counter or a time.
///
/// A short name and the number are hashed as one input instead. Longer names keep the hash that XXH3 gives them with
/// the seed: other instances compute the same one, and objects stay on their servers.
#[must_use]
pub(crate) fn of_name(name: &str, seed: u64) -> u64 {
    let name = name.as_bytes();
    if name.len() > MAX_SHORT_NAME_BYTES {
        return xxh3::xxh3_64_with_seed(name, seed);
    }
    let mut input = [0; MAX_SHORT_NAME_BYTES + size_of::<u64>()];
    input[..name.len()].copy_from_slice(name);
    input[MAX_SHORT_NAME_BYTES..].copy_from_slice(&seed.to_le_bytes());
    xxh3::xxh3_64(&input)
}
