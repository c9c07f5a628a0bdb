//! Whose turn it is to run a suspect.

/// Who may run a suspect now, as one instance sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Turn {
    /// Every instance may run any number of copies.
    Free,
    /// This instance may run one copy at a time.
    Own,
    /// Another instance runs one copy at a time.
    Other,
}
