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
use crate::object::ObjectId;
use crate::problem::Problem;
use crate::state::config_state::ConfigState;
use crate::state::validate;

/// Chunks by hash; a chunk's hash is worked out from its bytes when it is made.
pub type Chunks = BTreeMap<ContentHash, Chunk>;

/// Assembles and validates the state of a head.
///
/// # Errors
///
/// Every problem: chunks that are missing, that hold another object than the head says or that no
/// program of this version can read, and everything that validation finds.
pub fn assemble(head: &Head, chunks: &Chunks) -> Result<ConfigState, Vec<Problem>> {
    let mut objects = Vec::new();
    let mut problems = Vec::new();
    for (id, entry) in &head.objects {
        match object(id, entry, chunks) {
            Ok(declaration) => objects.push((id.clone(), declaration)),
            Err(problem) => problems.push((*problem).of(id)),
        }
    }
    if !problems.is_empty() {
        return Err(problems);
    }
    let state = ConfigState::new(head.version, objects);
    let problems = validate::validate(&state);
    if problems.is_empty() {
        Ok(state)
    } else {
        Err(problems)
    }
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
