//! What callers got.

use std::collections::BTreeMap;

/// The span of the worst time, in milliseconds.
const WINDOW_MS: u64 = 2_000;

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ending {
    /// Answered, so long after the caller first asked.
    Answered(u64),
    /// Refused, and not asked again.
    Refused,
    /// No answer in time.
    TimedOut,
}

/// What callers got in one run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Measured {
    /// Requests.
    pub requests: u64,
    /// The worth of all requests, had each been answered within its objective.
    pub owed: f64,
    /// The worth that was earned.
    pub earned: f64,
    /// Requests answered within their objective.
    pub in_time: u64,
    /// Requests answered later.
    pub late: u64,
    /// Requests that ended refused.
    pub refused: u64,
    /// Requests that got no answer in time.
    pub timed_out: u64,
    /// Refusals, those of callers who came back included.
    pub refusals: u64,
    /// Requests that a server turned away.
    pub shed: u64,
    /// Answers from another region than the caller's.
    pub moved: u64,
    /// Owed and earned by kind, by zone, and by two seconds of the run.
    kinds: Vec<(f64, f64)>,
    zones: Vec<(f64, f64)>,
    windows: Vec<(f64, f64)>,
    /// Answers by the callers' region, the window, and the region in which they ran.
    ran: BTreeMap<(usize, u64), BTreeMap<usize, u64>>,
}

impl Measured {
    pub(super) fn new(kinds: usize, zones: usize, run_ms: u64) -> Self {
        Self {
            kinds: vec![(0.0, 0.0); kinds],
            zones: vec![(0.0, 0.0); zones],
            windows: vec![(0.0, 0.0); (run_ms / WINDOW_MS + 1) as usize],
            ..Self::default()
        }
    }

    pub(super) fn note(
        &mut self,
        (kind, zone, asked_ms): (usize, usize, u64),
        (owed, earned): (f64, f64),
    ) {
        self.requests += 1;
        self.owed += owed;
        self.earned += earned;
        let window = (asked_ms / WINDOW_MS) as usize;
        for (sums, place) in [
            (&mut self.kinds, kind),
            (&mut self.zones, zone),
            (&mut self.windows, window),
        ] {
            if let Some(sum) = sums.get_mut(place) {
                sum.0 += owed;
                sum.1 += earned;
            }
        }
    }

    /// Notes in which region an answered request ran.
    pub(super) fn note_region(&mut self, callers: usize, ran: usize, asked_ms: u64) {
        self.moved += u64::from(callers != ran);
        let window = self.ran.entry((callers, asked_ms / WINDOW_MS)).or_default();
        *window.entry(ran).or_default() += 1;
    }

    /// The largest share of a region's requests that changed the region in which they run from one window of
    /// two seconds to the next.
    #[must_use]
    pub fn largest_shift(&self) -> f64 {
        let consecutive = self.ran.iter().filter_map(|((callers, window), ran)| {
            let next = self.ran.get(&(*callers, window + 1))?;
            Some(shifted(ran, next))
        });
        consecutive.fold(0.0, f64::max)
    }

    pub(super) fn count(&mut self, ending: Ending, objective_ms: u64) {
        match ending {
            Ending::Answered(took_ms) if took_ms <= objective_ms => self.in_time += 1,
            Ending::Answered(_) => self.late += 1,
            Ending::Refused => self.refused += 1,
            Ending::TimedOut => self.timed_out += 1,
        }
    }

    /// The worth earned of all that was owed.
    #[must_use]
    pub fn worth(&self) -> f64 {
        share((self.owed, self.earned))
    }

    /// The same for the kind of request that got least.
    #[must_use]
    pub fn worst_kind(&self) -> f64 {
        least(&self.kinds)
    }

    /// The same for the callers' zone that got least.
    #[must_use]
    pub fn worst_zone(&self) -> f64 {
        least(&self.zones)
    }

    /// The same for the worst two seconds.
    #[must_use]
    pub fn worst_window(&self) -> f64 {
        least(&self.windows)
    }
}

/// Half the distance between two distributions: the share that must move to get from one to the other.
fn shifted(one: &BTreeMap<usize, u64>, other: &BTreeMap<usize, u64>) -> f64 {
    let part = |of: &BTreeMap<usize, u64>, region: usize| {
        let all: u64 = of.values().sum();
        of.get(&region).copied().unwrap_or_default() as f64 / all.max(1) as f64
    };
    let regions: std::collections::BTreeSet<usize> =
        one.keys().chain(other.keys()).copied().collect();
    let distances = regions
        .into_iter()
        .map(|region| (part(one, region) - part(other, region)).abs());
    distances.sum::<f64>() / 2.0
}

fn share((owed, earned): (f64, f64)) -> f64 {
    if owed > 0.0 { earned / owed } else { 1.0 }
}

fn least(sums: &[(f64, f64)]) -> f64 {
    sums.iter().copied().map(share).fold(1.0, f64::min)
}
