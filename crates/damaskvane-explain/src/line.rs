//! One line of a log.

use std::time::SystemTime;

use serde_json::{Map, Value};

/// A line, read as JSON; whatever stands before the object is left out.
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

    pub(super) fn whole(&self, field: &str) -> Option<u64> {
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

    /// The time of day, by the instance's own clock.
    pub(super) fn at_ms(&self) -> Option<u64> {
        let at = humantime::parse_rfc3339(self.text("ts")?).ok()?;
        let since = at.duration_since(SystemTime::UNIX_EPOCH).ok()?;
        u64::try_from(since.as_millis()).ok()
    }

    /// Lines on requests that were left out before this one.
    pub(super) fn left_out(&self) -> u64 {
        self.whole("lines_left_out").unwrap_or_default()
    }

    /// The line for a reader: time, message, and all other fields that hold something.
    pub(super) fn told(&self) -> String {
        const LEFT_OUT: [&str; 6] = ["msg", "ts", "level", "instance", "program", "request_id"];
        let mut told = format!("{} {}", self.text("ts").unwrap_or("-"), self.message());
        for (field, value) in &self.0 {
            if LEFT_OUT.contains(&field.as_str()) || value.is_null() {
                continue;
            }
            let value = value
                .as_str()
                .map_or_else(|| value.to_string(), str::to_owned);
            told.push_str(&format!(", {field} {value}"));
        }
        told
    }
}
