//! What a new owner waits for: grants and requests of which no instance can tell it.
//!
//! The owner of a backend server is the instance that grants the server's slots. Instances that consent to a
//! new owner report the leases that they hold. An instance that has ended, or that may still act as an owner
//! without noticing that it was replaced, reports nothing: the new owner waits until everything that such an
//! instance granted or used has expired.

use std::collections::BTreeMap;

use damaskvane_core::{ids, time};
use damaskvane_membership::view;

use crate::exchange::blocked_by::BlockedBy;
use crate::exchange::wait::Wait;
use crate::message::{StopReport, WaitReport};

/// The time by which one incarnation has certainly stopped to grant slots and to send requests.
#[derive(Debug, Clone, Copy)]
struct Stop {
    stopped_by: time::TimeMs,
    reason: BlockedBy,
}

/// What a new owner of a backend server has to wait for before it grants slots.
#[derive(Debug, Clone, Default)]
pub(crate) struct TakeoverWait {
    /// The wait for grants and requests that end at a known time, whoever has stopped.
    leases: Option<Wait>,
    stops: BTreeMap<(ids::InstanceId, ids::Incarnation), Stop>,
}

impl TakeoverWait {
    /// Creates a wait that ends at a known time.
    pub(crate) fn new(leases: Wait) -> Self {
        Self {
            leases: Some(leases),
            stops: BTreeMap::new(),
        }
    }

    /// Adds a wait that ends at a known time.
    pub(crate) fn postpone(&mut self, wait: Wait) {
        self.leases = Some(match self.leases.take() {
            Some(leases) => leases.max(wait),
            None => wait,
        });
    }

    /// Adds an incarnation that grants no slots and sends no requests from `stopped_by` on.
    ///
    /// Of two times for the same incarnation the later one counts, since each may lack what the other knows.
    pub(crate) fn add(
        &mut self,
        instance: ids::InstanceId,
        incarnation: ids::Incarnation,
        stopped_by: time::TimeMs,
        reason: BlockedBy,
    ) {
        let stop = Stop { stopped_by, reason };
        let known = self.stops.entry((instance, incarnation)).or_insert(stop);
        if stopped_by > known.stopped_by {
            *known = stop;
        }
    }

    /// Adds everything that another wait is for.
    pub(crate) fn merge(&mut self, other: Self) {
        if let Some(leases) = other.leases {
            self.postpone(leases);
        }
        for ((instance, incarnation), stop) in other.stops {
            self.add(instance, incarnation, stop.stopped_by, stop.reason);
        }
    }

    /// Forgets the incarnations whose grants and requests have expired by `now`.
    pub(crate) fn expire(&mut self, now: time::TimeMs, expiry: time::SpanMs) {
        self.stops.retain(|_, stop| stop.stopped_by + expiry > now);
    }

    /// Shortens the wait by what the roster proves at `now`: the process of an incarnation has ended if a
    /// later incarnation runs, or if its machine refused a connection.
    pub(crate) fn apply_proofs(&mut self, now: time::TimeMs, roster: &view::Roster) {
        for ((instance, incarnation), stop) in &mut self.stops {
            let member = roster
                .members
                .iter()
                .find(|member| member.instance == *instance);
            let ended_at = member.and_then(|member| ended_at(now, *incarnation, member));
            if let Some(ended_at) = ended_at {
                stop.stopped_by = stop.stopped_by.min(ended_at);
            }
        }
    }

    /// Returns the part of the wait that ends last; grants and requests of an instance that has stopped
    /// expire within `expiry`.
    pub(crate) fn last(&self, expiry: time::SpanMs) -> Option<Wait> {
        let stops = self.stops.iter().map(|((instance, _), stop)| {
            Wait::new(
                stop.reason,
                Some(instance.clone()),
                stop.stopped_by + expiry,
            )
        });
        stops.chain(self.leases.clone()).reduce(Wait::max)
    }

    /// Returns the time by which the last of the incarnations has stopped; zero if there are none.
    pub(crate) fn last_stop(&self) -> time::TimeMs {
        let stops = self.stops.values().map(|stop| stop.stopped_by);
        stops.max().unwrap_or_default()
    }

    /// Returns the wait as it is told to another instance at `now`.
    pub(crate) fn report(&self, now: time::TimeMs) -> WaitReport {
        let stops = self.stops.iter();
        let leases = self.leases.as_ref().map(|wait| wait.until.since(now));
        WaitReport {
            wait_ms: leases.unwrap_or_default(),
            stops: stops
                .map(|((instance, incarnation), stop)| StopReport {
                    instance: instance.clone(),
                    incarnation: *incarnation,
                    wait_ms: stop.stopped_by.since(now),
                })
                .collect(),
        }
    }

    /// Returns the wait that `reporter` told this instance at `now`.
    pub(crate) fn from_report(
        now: time::TimeMs,
        reporter: &ids::InstanceId,
        report: WaitReport,
    ) -> Self {
        let reporter = Some(reporter.clone());
        let until = now + report.wait_ms;
        let mut wait = Self::new(Wait::new(BlockedBy::EarlierLeases, reporter, until));
        for stop in report.stops {
            let stopped_by = now + stop.wait_ms;
            let reason = BlockedBy::ReportedStop;
            wait.add(stop.instance, stop.incarnation, stopped_by, reason);
        }
        wait
    }
}

/// Returns by when the process of an incarnation of a member has ended; `None` if nothing proves its end.
fn ended_at(
    now: time::TimeMs,
    incarnation: ids::Incarnation,
    member: &view::RosterMember,
) -> Option<time::TimeMs> {
    if member.incarnation > incarnation {
        return Some(now);
    }
    let gone = member.gone.filter(|gone| gone.has_ended)?;
    (gone.incarnation >= incarnation).then_some(gone.from)
}
