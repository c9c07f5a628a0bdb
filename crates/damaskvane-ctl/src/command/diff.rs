//! `diff`: shows what declarations would change in the accepted configuration.

use core::fmt;

use damaskvane_config::declaration::Declaration;
use damaskvane_config::document::Document;
use damaskvane_config::object::ObjectId;
use damaskvane_core::ids;
use serde::Serialize;
use serde_json::Value;

use crate::error::CtlError;
use crate::store::Accepted;

/// Change of one key of an object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FieldChange {
    /// Name of the key.
    pub key: String,
    /// Accepted value; `null` if there is none.
    pub from: Value,
    /// Declared value; `null` if there is none.
    pub to: Value,
}

/// Change of one object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Change {
    /// Object that changes.
    pub object: ObjectId,
    /// Kind of change: `add`, `change` or `delete`.
    pub action: &'static str,
    /// Ticket that last changed the object; 0 for none.
    pub last_ticket: ids::TicketNumber,
    /// Changed keys.
    pub fields: Vec<FieldChange>,
}

/// Difference between declarations and the accepted configuration.
#[derive(Debug, Clone, Serialize)]
pub struct DiffReport {
    /// Accepted version that the declarations were compared with, for use with `submit --base`.
    pub base_version: ids::ConfigVersion,
    /// Changes, one for each changed object.
    pub changes: Vec<Change>,
}

impl fmt::Display for DiffReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "against version {}", self.base_version)?;
        if self.changes.is_empty() {
            write!(f, "\nno change")?;
        }
        for change in &self.changes {
            write!(f, "\n{} {}", change.action, change.object)?;
            if change.last_ticket.get() > 0 {
                write!(f, " (last changed by ticket {})", change.last_ticket)?;
            }
            for field in &change.fields {
                write!(f, "\n    {}: {} -> {}", field.key, field.from, field.to)?;
            }
        }
        Ok(())
    }
}

/// Compares declarations with the accepted configuration.
///
/// # Errors
///
/// Fails if a chunk of the accepted configuration is missing or corrupt.
pub fn diff(document: &Document, accepted: &Accepted) -> Result<DiffReport, CtlError> {
    let mut changes = Vec::new();
    for (object, after) in document.changes() {
        let before = accepted_declaration(accepted, object)?;
        if before != *after {
            changes.push(Change {
                object: object.clone(),
                action: action(before.as_ref(), after.as_ref()),
                last_ticket: accepted.head.base_of(object),
                fields: fields(before.as_ref(), after.as_ref()),
            });
        }
    }
    Ok(DiffReport {
        base_version: accepted.head.version,
        changes,
    })
}

/// Returns the accepted declaration of an object; `None` if the object doesn't exist.
pub(super) fn accepted_declaration(
    accepted: &Accepted,
    object: &ObjectId,
) -> Result<Option<Declaration>, CtlError> {
    let Some(entry) = accepted.head.objects.get(object) else {
        return Ok(None);
    };
    let chunk = accepted.chunks.get(&entry.hash).ok_or_else(|| {
        CtlError::InvalidData(format!(
            "the chunk of {object} is missing; submit the object again from version control or \
                 an export"
        ))
    })?;
    let (_, declaration) = chunk
        .decode()
        .map_err(|error| CtlError::InvalidData(error.to_string()))?;
    Ok(Some(declaration))
}

const fn action(before: Option<&Declaration>, after: Option<&Declaration>) -> &'static str {
    match (before, after) {
        (None, _) => "add",
        (Some(_), Some(_)) => "change",
        (Some(_), None) => "delete",
    }
}

fn fields(before: Option<&Declaration>, after: Option<&Declaration>) -> Vec<FieldChange> {
    let (before, after) = (to_map(before), to_map(after));
    let mut keys: Vec<&String> = before.keys().chain(after.keys()).collect();
    keys.sort();
    keys.dedup();
    let value = |map: &serde_json::Map<String, Value>, key: &str| {
        map.get(key).cloned().unwrap_or(Value::Null)
    };
    keys.into_iter()
        .map(|key| FieldChange {
            key: key.clone(),
            from: value(&before, key),
            to: value(&after, key),
        })
        .filter(|field| field.key != "kind" && field.from != field.to)
        .collect()
}

fn to_map(declaration: Option<&Declaration>) -> serde_json::Map<String, Value> {
    match declaration.map(serde_json::to_value) {
        Some(Ok(Value::Object(fields))) => fields,
        _ => serde_json::Map::new(),
    }
}
