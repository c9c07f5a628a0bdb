//! How an instance learned of what a backend server says.

/// How an instance learned of what a backend server says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatementSource {
    /// By the response to a request.
    Response,
    /// By the response to a health probe.
    Probe,
    /// By another instance.
    Peer,
}

impl StatementSource {
    /// Returns the label for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Response => "response",
            Self::Probe => "probe",
            Self::Peer => "peer",
        }
    }
}
