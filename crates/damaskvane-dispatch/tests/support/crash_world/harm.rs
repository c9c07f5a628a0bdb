//! What became of the requests of one history.

use std::iter;

/// What became of the requests of one history.
#[derive(Debug, Default, Clone, Copy)]
pub struct Harm {
    /// Servers that the crashing request took down.
    pub servers_lost: usize,
    /// Most servers that the crashing request took down in one of several histories.
    pub most_servers_lost: usize,
    /// Sends of the crashing request by undisturbed instances, later than [`CONTACT_MS`] after its third crash.
    pub late_sends: usize,
    /// Harmless requests.
    pub harmless: usize,
    /// Harmless requests that were refused.
    pub harmless_refused: usize,
    /// Harmless requests that undisturbed instances refused later than [`CLEARED_WITHIN_MS`] after the last crash of any server.
    pub harmless_refused_late: usize,
    /// Harmless requests that waited for a probe or a trial.
    pub harmless_delayed: usize,
    /// Copies of harmless requests that were withdrawn from their servers.
    pub harmless_withdrawn: usize,
    /// Records written to the store.
    pub records_written: usize,
}
impl iter::Sum for Harm {
    fn sum<I: Iterator<Item = Self>>(harms: I) -> Self {
        harms.fold(Self::default(), |sum, harm| Self {
            servers_lost: sum.servers_lost + harm.servers_lost,
            most_servers_lost: sum.most_servers_lost.max(harm.servers_lost),
            late_sends: sum.late_sends + harm.late_sends,
            harmless: sum.harmless + harm.harmless,
            harmless_refused: sum.harmless_refused + harm.harmless_refused,
            harmless_refused_late: sum.harmless_refused_late + harm.harmless_refused_late,
            harmless_delayed: sum.harmless_delayed + harm.harmless_delayed,
            harmless_withdrawn: sum.harmless_withdrawn + harm.harmless_withdrawn,
            records_written: sum.records_written + harm.records_written,
        })
    }
}
