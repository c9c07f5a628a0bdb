//! A write whose lost answer is resolved by reading its own identity back.
//!
//! ```
//! use damaskvane_objects::write;
//!
//! assert_eq!(write::Outcome::Unknown, write::Outcome::Unknown);
//! ```

use std::thread;

use damaskvane_core::time;

use crate::api::{NotAppliedReason, ObjectApi, ObjectKey, ObjectVersion, WriteId, WriteResult};
use crate::backoff::Backoff;

/// What became of a write after doubt was resolved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It took effect and made this version.
    Applied(ObjectVersion),
    /// The object has another version, made by another write.
    ///
    /// Where an answer was lost before, this write may have taken effect and been followed by
    /// others; only what the later versions say of their past can tell.
    Overtaken {
        /// The object's version.
        current: ObjectVersion,
        /// Whether any try's answer was lost.
        doubted: bool,
    },
    /// It had no effect, and the tries are spent or would not help.
    Refused(NotAppliedReason),
    /// The tries are spent and it is still unknown.
    Unknown,
}

/// Writes an object, trying up to `tries` times.
///
/// Each try is the same conditional write, so at most one of them takes effect, and none can undo a
/// later write: the version it asks for is gone by then.
pub fn put(
    api: &impl ObjectApi,
    key: &ObjectKey,
    if_version: ObjectVersion,
    value: &[u8],
    write_id: &WriteId,
    backoff: &mut Backoff,
    tries: u32,
) -> Outcome {
    let mut doubted = false;
    let mut last_refusal = None;
    for _ in 0..tries {
        match api.put_if(key, if_version, value, write_id) {
            WriteResult::Applied { version } => return Outcome::Applied(version),
            WriteResult::Conflict { current } => {
                if let Some(version) = own_version(api, key, write_id) {
                    return Outcome::Applied(version);
                }
                return Outcome::Overtaken { current, doubted };
            }
            WriteResult::NotApplied(reason) if !reason.is_transient() => {
                return if doubted {
                    Outcome::Unknown
                } else {
                    Outcome::Refused(reason)
                };
            }
            WriteResult::NotApplied(reason) => last_refusal = Some(reason),
            WriteResult::Unknown(_) => {
                doubted = true;
                if let Some(version) = own_version(api, key, write_id) {
                    return Outcome::Applied(version);
                }
            }
        }
        sleep(backoff.pause());
    }
    match last_refusal {
        Some(reason) if !doubted => Outcome::Refused(reason),
        _ => Outcome::Unknown,
    }
}

/// The object's version, if this very write made it.
fn own_version(api: &impl ObjectApi, key: &ObjectKey, write_id: &WriteId) -> Option<ObjectVersion> {
    let object = api.get(key).ok().flatten()?;
    (object.write_id.as_ref() == Some(write_id)).then_some(object.version)
}

fn sleep(pause: time::SpanMs) {
    thread::sleep(pause.to_duration());
}
