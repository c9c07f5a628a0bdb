//! A chooser that knows everything: what each server remembers, its queue at this moment, and how often each object
//! is asked for. It still pays what nobody can avoid: the first run of each object, and slots that are all in use.
//!
//! What it earns is what a policy is held against. It isn't the most that could be earned: it decides request by
//! request, and looks at no request to come.

use std::collections::HashMap;

use crate::placement::backend::{Backend, Job};
use crate::placement::deployment::{Deployment, Kind, Place};

/// What it remembers of its own choices.
#[derive(Debug, Default)]
pub(super) struct Oracle {
    /// The work that comes to each server in the mean, by the objects that were given to it.
    promised: HashMap<usize, f64>,
}

/// A request and where it stands.
#[derive(Debug, Clone, Copy)]
pub(super) struct Wish<'a> {
    pub(super) kind: &'a Kind,
    pub(super) job: Job,
    pub(super) service: usize,
    pub(super) zone: usize,
    /// The time since the caller first asked.
    pub(super) waited_ms: f64,
}

impl Oracle {
    /// The server for a request, if any has room.
    pub(super) fn choose(
        &mut self,
        deployment: &Deployment,
        places: &[Place],
        backends: &[Backend],
        wish: Wish<'_>,
        tried: &[usize],
    ) -> Option<usize> {
        let candidates = places
            .iter()
            .enumerate()
            .filter(|(number, place)| place.service == wish.service && !tried.contains(number))
            .filter(|(number, _)| !backends[*number].is_full());
        let rated = candidates.map(|(number, place)| {
            let backend = &backends[number];
            let way_ms = deployment.round_trip_ms(wish.zone, place.zone) as f64;
            let takes_ms = wish.waited_ms + way_ms + backend.expected_ms(wish.job);
            let is_in_time = takes_ms <= wish.kind.route.objective_ms as f64;
            let is_remembered = backend.remembers(wish.job.object);
            let promised = self.promised.get(&number).copied().unwrap_or_default();
            let slots = f64::from(backend.load().slots);
            // In time first; else where it takes least from others; then where least is promised.
            (
                number,
                is_in_time,
                is_remembered,
                promised / slots,
                takes_ms,
            )
        });
        let best = rated.min_by(|one, other| {
            let order = other.1.cmp(&one.1).then(other.2.cmp(&one.2));
            order
                .then(one.3.total_cmp(&other.3))
                .then(one.4.total_cmp(&other.4))
        })?;
        if !best.2 {
            let share = wish.kind.share / wish.kind.objects.max(1) as f64;
            let work = wish.job.work_ms * (1.0 - wish.kind.warm_gain);
            *self.promised.entry(best.0).or_default() += share * work;
        }
        Some(best.0)
    }
}
