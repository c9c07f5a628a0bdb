//! Assembles the state of a version from its head and chunks.
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

/// Chunks by hash; a chunk's hash is computed from its bytes when it is created.
pub type Chunks = BTreeMap<ContentHash, Chunk>;

/// A state that is already assembled and validated, to be reused.
#[derive(Debug, Clone, Copy)]
pub struct PreviousState<'a> {
    /// The head of the state.
    pub head: &'a Head,
    /// The declarations of the state.
    pub state: &'a ConfigState,
}

/// Assembles and validates the state of a head.
///
/// # Errors
///
/// Returns all problems with chunks: missing ones, ones that hold another object than the head
/// names, and ones that this version of the program can't decode. If there are none, returns all
/// problems that validation finds.
pub fn assemble(head: &Head, chunks: &Chunks) -> Result<ConfigState, Vec<Problem>> {
    assemble_after(None, head, chunks)
}

/// Assembles and validates the state of a head, and reuses unchanged objects of a previous state.
///
/// A ticket changes few objects. If millions of client blocks were decoded again for each ticket,
/// the instance would stop for seconds and store the blocks in memory twice.
///
/// # Errors
///
/// Returns the same problems as [`assemble`].
pub fn assemble_after(
    previous: Option<PreviousState<'_>>,
    head: &Head,
    chunks: &Chunks,
) -> Result<ConfigState, Vec<Problem>> {
    let mut objects = Vec::new();
    let mut problems = Vec::new();
    for (id, entry) in &head.objects {
        let reused = previous.and_then(|previous| unchanged(&previous, id, entry));
        match reused.map_or_else(|| object(id, entry, chunks), Ok) {
            Ok(declaration) => objects.push((id.clone(), declaration)),
            Err(problem) => problems.push((*problem).of(id)),
        }
    }
    if !problems.is_empty() {
        return Err(problems);
    }
    let state = ConfigState::new(head.version, objects);
    let blocks_unchanged = previous.is_some_and(|previous| blocks_unchanged(previous.head, head));
    let problems = validate::validate(&state, blocks_unchanged);
    if problems.is_empty() {
        Ok(state)
    } else {
        Err(problems)
    }
}

fn unchanged(
    previous: &PreviousState<'_>,
    id: &ObjectId,
    entry: &ObjectEntry,
) -> Option<Declaration> {
    let same = previous.head.objects.get(id)?.hash == entry.hash;
    same.then(|| previous.state.declaration(id)).flatten()
}

/// Returns whether both heads have the same, already checked sets of client blocks.
fn blocks_unchanged(previous: &Head, head: &Head) -> bool {
    let blocks = |head: &Head| -> Vec<(ObjectId, ContentHash)> {
        let of_blocks = |(id, _): &(&ObjectId, &ObjectEntry)| id.kind() == ObjectKind::ClientBlocks;
        let entries = head.objects.iter().filter(of_blocks);
        entries
            .map(|(id, entry)| (id.clone(), entry.hash))
            .collect()
    };
    blocks(previous) == blocks(head)
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
