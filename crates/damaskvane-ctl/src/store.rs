//! Reads the accepted configuration and submits tickets through the platform's object API.
//!
//! ```
//! use damaskvane_config::submit;
//! use damaskvane_ctl::store;
//!
//! assert_eq!(store::key(&submit::Call::ReadHead).to_string(), "head/config");
//! ```

use std::thread;

use damaskvane_config::manifest::Head;
use damaskvane_config::state::{self, Chunks, ConfigState};
use damaskvane_config::submit::{Call, Outcome, Step, StoreResponse, Submission};
use damaskvane_config::{chunk, ticket};
use damaskvane_core::hash::ContentHash;
use damaskvane_objects::api::{ObjectApi, ObjectKey, ObjectVersion, WriteId, WriteResult};
use damaskvane_objects::backoff::Backoff;

use crate::error::CtlError;

/// Accepted configuration with all of its chunks.
#[derive(Debug, Clone, Default)]
pub struct Accepted {
    /// Head of the configuration; empty before the first ticket.
    pub head: Head,
    /// Chunks that the head references, by their hash.
    pub chunks: Chunks,
}

impl Accepted {
    /// Returns the configuration as typed objects.
    ///
    /// # Errors
    ///
    /// Fails with every problem if the accepted configuration is invalid.
    pub fn state(&self) -> Result<ConfigState, CtlError> {
        state::assemble(&self.head, &self.chunks).map_err(CtlError::Invalid)
    }

    /// Returns the configuration that would result from accepting a draft.
    ///
    /// # Errors
    ///
    /// Fails with every problem if the resulting configuration is invalid.
    pub fn state_with(&self, draft: &ticket::Draft) -> Result<ConfigState, CtlError> {
        let head = draft.ticket_after(&self.head).head_after(&self.head);
        let mut chunks = self.chunks.clone();
        let new = draft.object_chunks().into_values();
        chunks.extend(new.map(|chunk| (chunk.hash(), chunk)));
        state::assemble(&head, &chunks).map_err(CtlError::Invalid)
    }
}

/// Returns the key of the object that a call reads or writes.
#[must_use]
pub fn key(call: &Call) -> ObjectKey {
    let (kind, name) = call.key();
    ObjectKey::new(kind, name)
}

/// Reads the head and every chunk that the head references.
///
/// # Errors
///
/// Fails if the platform can't be read, or if the head or a chunk is missing or corrupt.
pub fn read_accepted(api: &impl ObjectApi) -> Result<Accepted, CtlError> {
    let head = read_head(api)?;
    let mut chunks = Chunks::new();
    for entry in head.objects.values() {
        let chunk = read_chunk(api, entry.hash)?;
        chunks.insert(entry.hash, chunk);
    }
    Ok(Accepted { head, chunks })
}

/// Reads the head; returns an empty head before the first ticket.
///
/// # Errors
///
/// Fails if the platform can't be read or the head is corrupt.
pub fn read_head(api: &impl ObjectApi) -> Result<Head, CtlError> {
    match api.get(&key(&Call::ReadHead))? {
        None => Ok(Head::default()),
        Some(object) => {
            Head::decode(&object.value).map_err(|error| CtlError::InvalidData(error.to_string()))
        }
    }
}

/// Reads a chunk and verifies its hash.
///
/// # Errors
///
/// Fails if the platform can't be read, or if the chunk is missing or corrupt.
pub fn read_chunk(api: &impl ObjectApi, hash: ContentHash) -> Result<chunk::Chunk, CtlError> {
    let object = api.get(&key(&Call::ReadChunk(hash)))?.ok_or_else(|| {
        CtlError::InvalidData(format!(
            "chunk {hash} is missing; submit its object again from version control or an export"
        ))
    })?;
    let chunk = chunk::Chunk::from_bytes(object.value);
    if chunk.hash() != hash {
        let text = format!(
            "chunk {hash} doesn't match its hash; submit its object again from version control or an export"
        );
        return Err(CtlError::InvalidData(text));
    }
    Ok(chunk)
}

/// Submits a draft and blocks until the outcome is known or can't be determined.
pub fn submit(api: &impl ObjectApi, draft: ticket::Draft, backoff: &mut Backoff) -> Outcome {
    let mut submission = Submission::new(draft);
    loop {
        match submission.next_step() {
            Step::Call(call) => submission.handle_response(&call, execute(api, &call)),
            Step::Pause => thread::sleep(backoff.pause().to_duration()),
            Step::Done(outcome) => return outcome,
        }
    }
}

/// Executes one call of a submission against the object API.
pub fn execute(api: &impl ObjectApi, call: &Call) -> StoreResponse {
    match call {
        Call::ReadHead | Call::ReadChunk(_) => read(api, call),
        Call::WriteChunk(chunk) => write(api, call, 0, chunk.bytes(), &chunk.hash().to_string()),
        Call::RepairChunk { if_version, chunk } => {
            let write_id = format!("repair-{}", chunk.hash());
            write(api, call, *if_version, chunk.bytes(), &write_id)
        }
        Call::FileTicket(number, chunk) => {
            write(api, call, 0, chunk.bytes(), &format!("ticket-{number}"))
        }
        Call::WriteHead {
            if_version,
            bytes,
            write_id,
        } => write(api, call, *if_version, bytes, write_id),
    }
}

fn read(api: &impl ObjectApi, call: &Call) -> StoreResponse {
    use damaskvane_objects::api::ReadError;
    match api.get(&key(call)) {
        Ok(None) => StoreResponse::Absent,
        Ok(Some(object)) => StoreResponse::Found {
            version: object.version.get(),
            bytes: object.value.into(),
        },
        Err(error @ (ReadError::Unauthorized | ReadError::Protocol(_))) => {
            StoreResponse::Refused(error.to_string())
        }
        Err(error) => StoreResponse::Failed(error.to_string()),
    }
}

fn write(
    api: &impl ObjectApi,
    call: &Call,
    if_version: u64,
    bytes: &[u8],
    write_id: &str,
) -> StoreResponse {
    let if_version = ObjectVersion::new(if_version);
    match api.put_if(&key(call), if_version, bytes, &WriteId::new(write_id)) {
        WriteResult::Applied { .. } => StoreResponse::Applied,
        WriteResult::Conflict { .. } => StoreResponse::Conflict,
        WriteResult::NotApplied(reason) if reason.is_transient() => {
            StoreResponse::Failed(reason.to_string())
        }
        WriteResult::NotApplied(reason) => StoreResponse::Refused(reason.to_string()),
        WriteResult::Unknown(reason) => StoreResponse::Unknown(reason.to_string()),
    }
}
