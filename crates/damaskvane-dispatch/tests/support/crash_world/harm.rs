//! What became of the requests of one history.

/// What became of the requests of one history.
#[derive(Debug, Default, Clone, Copy)]
pub struct Harm {
    /// Servers that the crashing request took down.
    pub servers_lost: usize,
    /// Sends of the crashing request by undisturbed instances, later than [`CONTACT_MS`] after its third crash.
    pub late_sends: usize,
    /// Harmless requests.
    pub harmless: usize,
    /// Harmless requests that were refused.
    pub harmless_refused: usize,
    /// Harmless requests that undisturbed instances refused later than [`CLEARED_WITHIN_MS`] after the last crash of any server.
    pub harmless_refused_late: usize,
    /// Harmless requests that waited for a probe.
    pub harmless_delayed: usize,
}
