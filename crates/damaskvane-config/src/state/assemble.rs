//! Puts a state together from a head and its chunks.
//!
//! ```
//! use damaskvane_config::{manifest, state};
//!
//! assert!(state::assemble(&manifest::Head::default(), &Default::default()).is_ok());
//! ```

use std::collections::BTreeMap;

use damaskvane_core::hash::ContentHash;

use crate::chunk::Chunk;
use crate::declaration::Declaration;
use crate::manifest::{Head, ObjectEntry};
use crate::object::{ObjectId, ObjectKind};
use crate::problem::Problem;
use crate::state::config_state::ConfigState;
use crate::state::validate;

/// Chunks by hash; a chunk's hash is worked out from its bytes when it is made.
pub type Chunks = BTreeMap<ContentHash, Chunk>;

/// What was assembled and validated before.
#[derive(Debug, Clone, Copy)]
pub struct PreviousState<'a> {
    /// Its head.
    pub head: &'a Head,
    /// Its state.
    pub state: &'a ConfigState,
}

/// Assembles and validates the state of a head.
///
/// # Errors
///
/// Every problem: chunks that are missing, that hold another object than the head says or that no
/// program of this version can read, and everything that validation finds.
pub fn assemble(head: &Head, chunks: &Chunks) -> Result<ConfigState, Vec<Problem>> {
    assemble_after(None, head, chunks)
}

/// Assembles and validates the state of a head; objects that are the same as before are shared.
///
/// A ticket changes few objects. Reading millions of client blocks again for each would stop the
/// instance for seconds and hold them in memory twice.
///
/// # Errors
///
/// As [`assemble`].
pub fn assemble_after(
    before: Option<PreviousState<'_>>,
    head: &Head,
    chunks: &Chunks,
) -> Result<ConfigState, Vec<Problem>> {
    let mut objects = Vec::new();
    let mut problems = Vec::new();
    for (id, entry) in &head.objects {
        let same = before.and_then(|before| unchanged(&before, id, entry));
        match same.map_or_else(|| object(id, entry, chunks), Ok) {
            Ok(declaration) => objects.push((id.clone(), declaration)),
            Err(problem) => problems.push((*problem).of(id)),
        }
    }
    if !problems.is_empty() {
        return Err(problems);
    }
    let state = ConfigState::new(head.version, objects);
    let same_blocks = before.is_some_and(|before| same_blocks(before.head, head));
    let problems = validate::validate(&state, same_blocks);
    if problems.is_empty() {
        Ok(state)
    } else {
        Err(problems)
    }
}

fn unchanged(
    before: &PreviousState<'_>,
    id: &ObjectId,
    entry: &ObjectEntry,
) -> Option<Declaration> {
    let same = before.head.objects.get(id)?.hash == entry.hash;
    same.then(|| before.state.declaration(id)).flatten()
}

/// Whether both heads name the same sets of client blocks, which were compared with each other then.
fn same_blocks(before: &Head, head: &Head) -> bool {
    let blocks = |head: &Head| -> Vec<(ObjectId, ContentHash)> {
        let of_blocks = |(id, _): &(&ObjectId, &ObjectEntry)| id.kind() == ObjectKind::ClientBlocks;
        let entries = head.objects.iter().filter(of_blocks);
        entries
            .map(|(id, entry)| (id.clone(), entry.hash))
            .collect()
    };
    blocks(before) == blocks(head)
}

fn object(
    id: &ObjectId,
    entry: &ObjectEntry,
    chunks: &Chunks,
) -> Result<Declaration, Box<Problem>> {
    let chunk = chunks
        .get(&entry.hash)
        .filter(|chunk| chunk.hash() == entry.hash)
        .ok_or_else(|| Box::new(Problem::new("its chunk is missing", "fetch it by its hash")))?;
    let (named, declaration) = chunk.decode().map_err(|error| {
        Box::new(Problem::new(
            error.to_string(),
            "upgrade the program or submit it again",
        ))
    })?;
    if named != *id {
        let message = format!("its chunk holds {named}");
        return Err(Box::new(Problem::new(message, "submit the object again")));
    }
    Ok(declaration)
}
