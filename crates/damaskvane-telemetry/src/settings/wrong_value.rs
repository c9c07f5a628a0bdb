//! Error for a settings value that has the right type but can't be used.
//!
//! ```
//! use damaskvane_telemetry::settings;
//!
//! let wrong = settings::WrongValue::new("peer_address", "here", "no port", "write it as 127.0.0.1:7001");
//! assert!(wrong.to_string().starts_with("peer_address = \"here\""));
//! ```

/// {key} = {value:?} can't be used ({cause}); {remedy}
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct WrongValue {
    key: &'static str,
    value: String,
    cause: String,
    remedy: &'static str,
}

impl WrongValue {
    /// Creates an error from the key, its value, the cause of the rejection and what to write instead.
    #[must_use]
    pub fn new(
        key: &'static str,
        value: impl Into<String>,
        cause: &(impl ToString + ?Sized),
        remedy: &'static str,
    ) -> Self {
        Self {
            key,
            value: value.into(),
            cause: cause.to_string(),
            remedy,
        }
    }
}
