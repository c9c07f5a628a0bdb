//! What a history shows.

/// Counts and times of the requests after the first seconds.
#[derive(Debug, Default)]
pub struct Outcome {
    pub calls: usize,
    pub refused: usize,
    /// Requests that found no free slot at their server.
    pub queued: usize,
    /// Those of them that queued while a quarter of the other servers' slots were free.
    pub needless: usize,
    pub first_runs: usize,
    /// Time of each response from the call on.
    pub times_ms: Vec<u64>,
    /// Processor time of all choices in nanoseconds.
    pub choosing_ns: u128,
    /// Requests sent to each server.
    pub sent: Vec<usize>,
    /// Most requests that one server got within 100 ms.
    pub burst: usize,
    /// Reports of servers that instances sent to each other.
    pub messages: usize,
}

impl Outcome {
    pub fn share(&self, count: usize) -> f64 {
        count as f64 / self.calls.max(1) as f64
    }

    /// Returns the most requests that one server got, as a ratio to the mean.
    pub fn most_sent(&self) -> f64 {
        let most = self.sent.iter().max().copied().unwrap_or_default();
        most as f64 * self.sent.len() as f64 / self.calls.max(1) as f64
    }

    pub fn percentile(&self, percent: usize) -> u64 {
        let mut times = self.times_ms.clone();
        times.sort_unstable();
        let last = times.len().saturating_sub(1);
        times.get(last * percent / 100).copied().unwrap_or_default()
    }
}
