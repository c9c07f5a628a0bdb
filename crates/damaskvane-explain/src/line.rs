//! A log line with typed access to its JSON fields.

use std::time::SystemTime;

use serde_json::{Map, Value};

/// The JSON object of a log line, without any text that precedes the object.
#[derive(Debug, Clone)]
pub(super) struct Line(Map<String, Value>);

impl Line {
    pub(super) fn parse(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let value: Value = serde_json::from_str(text[start..].trim_end()).ok()?;
        match value {
            Value::Object(fields) => Some(Self(fields)),
            _ => None,
        }
    }

    pub(super) fn number(&self, field: &str) -> Option<f64> {
        self.0.get(field)?.as_f64()
    }

    pub(super) fn integer(&self, field: &str) -> Option<u64> {
        self.0.get(field)?.as_u64()
    }

    pub(super) fn flag(&self, field: &str) -> bool {
        self.0.get(field).and_then(Value::as_bool).unwrap_or(false)
    }

    pub(super) fn text(&self, field: &str) -> Option<&str> {
        self.0.get(field)?.as_str()
    }

    pub(super) fn message(&self) -> &str {
        self.text("msg").unwrap_or_default()
    }

    /// Returns the line's timestamp in milliseconds since the Unix epoch, by the clock of the instance's machine.
    pub(super) fn at_ms(&self) -> Option<u64> {
        let at = humantime::parse_rfc3339(self.text("ts")?).ok()?;
        let since = at.duration_since(SystemTime::UNIX_EPOCH).ok()?;
        u64::try_from(since.as_millis()).ok()
    }

    /// Returns the number of lines on requests that the instance omitted from the log before this line.
    pub(super) fn left_out(&self) -> u64 {
        self.integer("lines_left_out").unwrap_or_default()
    }

    /// Returns the line in readable form: timestamp, message and all other fields that are not null.
    pub(super) fn to_text(&self) -> String {
        const HIDDEN_FIELDS: [&str; 6] =
            ["msg", "ts", "level", "instance", "program", "request_id"];
        let mut text = format!("{} {}", self.text("ts").unwrap_or("-"), self.message());
        for (field, value) in &self.0 {
            if HIDDEN_FIELDS.contains(&field.as_str()) || value.is_null() {
                continue;
            }
            let value = value
                .as_str()
                .map_or_else(|| value.to_string(), str::to_owned);
            text.push_str(&format!(", {field} {value}"));
        }
        text
    }
}
