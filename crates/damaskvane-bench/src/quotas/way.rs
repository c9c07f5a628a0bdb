//! What a way to keep quotas has to do.

use damaskvane_routing::teams::Quota;
use rand_pcg::Pcg64Mcg;

/// A request that needs a decision.
#[derive(Debug, Clone, Copy)]
pub(super) struct Asked {
    pub(super) number: u64,
    pub(super) team: usize,
    pub(super) zone: usize,
    pub(super) instance: usize,
    pub(super) quota: Quota,
}

/// A decision on a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Decided {
    pub(super) number: u64,
    pub(super) team: usize,
    pub(super) is_admitted: bool,
}

/// A way to keep quotas over all instances.
pub(super) trait Way {
    /// Decides on a request, or adds it to those that wait.
    fn ask(&mut self, random: &mut Pcg64Mcg, now_ms: u64, asked: Asked) -> Option<Decided>;

    /// Handles the messages and timers of a millisecond; returns the decisions on requests that waited.
    fn advance(&mut self, random: &mut Pcg64Mcg, now_ms: u64) -> Vec<Decided>;

    /// Ends the process of an instance and starts it again, with nothing known.
    fn restart(&mut self, now_ms: u64, instance: usize);

    /// Returns the bytes that were sent in total, and between zones.
    fn bytes(&self) -> (u64, u64);
}
