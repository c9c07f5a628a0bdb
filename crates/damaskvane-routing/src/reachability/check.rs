//! A check that the program has to run: connections to open, whose results are recorded.

use damaskvane_core::ids;

/// Connections to open now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Check {
    /// Open any other server without a tunnel: one server has failed, and nothing shows whether others are reached.
    Control,
    /// Open each of these servers through another instance, and any other one without a tunnel; each without a tunnel first, unless that has failed already.
    Doubt(Vec<(ids::BackendServerId, super::ConnectFailure)>),
    /// Open each of these servers without a tunnel.
    Return(Vec<ids::BackendServerId>),
}
