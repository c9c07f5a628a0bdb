//! A write of an object whose result is found out even if the platform's response is lost.
//!
//! Each write has a write id, which the platform stores with the object. If the object has this id when
//! it is read again, the write took effect.
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

/// The final result of a write, after its tries and after lost responses were resolved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The write took effect and created this version.
    Applied(ObjectVersion),
    /// The object has another version, created by another write.
    ///
    /// If the response to an earlier try was lost, this write may have taken effect before the other
    /// write. Only a history in the later versions can show that.
    Conflict {
        /// The object's version.
        current: ObjectVersion,
        /// Whether the result of an earlier try is unknown, so that the try may have taken effect.
        maybe_applied: bool,
    },
    /// The write had no effect, and no tries are left or another try would not help.
    Refused(NotAppliedReason),
    /// No tries are left, or another try would not help, and the effect is still unknown.
    Unknown,
}

/// Writes an object, trying up to `tries` times.
///
/// All tries are the same conditional write, so at most one of them takes effect. No try can undo a
/// later write, since the object then no longer has the version `if_version`.
pub fn put(
    api: &impl ObjectApi,
    key: &ObjectKey,
    if_version: ObjectVersion,
    value: &[u8],
    write_id: &WriteId,
    backoff: &mut Backoff,
    tries: u32,
) -> Outcome {
    let mut maybe_applied = false;
    let mut last_refusal = None;
    for _ in 0..tries {
        match api.put_if(key, if_version, value, write_id) {
            WriteResult::Applied { version } => return Outcome::Applied(version),
            WriteResult::Conflict { current } => {
                if let Some(version) = version_created_by(api, key, write_id) {
                    return Outcome::Applied(version);
                }
                return Outcome::Conflict {
                    current,
                    maybe_applied,
                };
            }
            WriteResult::NotApplied(reason) if !reason.is_transient() => {
                return if maybe_applied {
                    Outcome::Unknown
                } else {
                    Outcome::Refused(reason)
                };
            }
            WriteResult::NotApplied(reason) => last_refusal = Some(reason),
            WriteResult::Unknown(_) => {
                maybe_applied = true;
                if let Some(version) = version_created_by(api, key, write_id) {
                    return Outcome::Applied(version);
                }
            }
        }
        sleep(backoff.pause());
    }
    match last_refusal {
        Some(reason) if !maybe_applied => Outcome::Refused(reason),
        _ => Outcome::Unknown,
    }
}

/// Reads the object and returns its version if the write `write_id` created that version.
fn version_created_by(
    api: &impl ObjectApi,
    key: &ObjectKey,
    write_id: &WriteId,
) -> Option<ObjectVersion> {
    let object = api.get(key).ok().flatten()?;
    (object.write_id.as_ref() == Some(write_id)).then_some(object.version)
}

fn sleep(pause: time::SpanMs) {
    thread::sleep(pause.to_duration());
}
