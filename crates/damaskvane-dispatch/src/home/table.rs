//! The table of idempotency keys of one home: an instance and its incarnation (one start or renewal).
//!
//! A tombstone is the digest of a key whose outcome is no longer retained. A superseded attempt must not run,
//! since a later one was answered with *not run*.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_dispatch::home;
//!
//! let own_home: home::Home = "sask-a-1/3".parse()?;
//! let table: home::HomeTable<u64> = home::HomeTable::new(own_home, home::HomeSettings::default());
//! assert_eq!(table.running(), 0);
//! # Ok::<(), home::ParseHomeError>(())
//! ```

use damaskvane_core::{ids, time};

use crate::home::response_size::ResponseSize;
use crate::home::{
    attempt, begin, closed_table, handover, key_owner, name, permit, record, records, renewal,
    routes, scope, settings, superseded, tombstones,
};
use crate::outcome;
use crate::refusal;

/// Decides on each attempt of the keys whose home is this instance, or a departed home that this
/// instance took over, and names the instance to forward other attempts to.
#[derive(Debug)]
pub struct HomeTable<A> {
    pub(super) own_home: name::Home,
    pub(super) first_incarnation: ids::Incarnation,
    pub(super) settings: settings::HomeSettings,
    pub(super) now: time::TimeMs,
    pub(super) records: records::Records<A>,
    pub(super) tombstones: tombstones::Tombstones,
    pub(super) superseded: superseded::Superseded,
    pub(super) routes: routes::Routes,
    pub(super) closed_table: Option<closed_table::ClosedTable<A>>,
    /// Set once the incarnation has accepted `max_tombstones` keys, until the incarnation ends.
    pub(super) is_key_limit_reached: bool,
    pub(super) previous: Option<renewal::Previous>,
    next_serial: u64,
    next_waiter: u64,
    broken_invariants: u64,
}

impl<A: Clone + ResponseSize> HomeTable<A> {
    /// Returns the empty table of an instance that has just started.
    #[must_use]
    pub fn new(own_home: name::Home, settings: settings::HomeSettings) -> Self {
        Self {
            first_incarnation: own_home.incarnation,
            own_home,
            now: time::TimeMs::ZERO,
            records: records::Records::new(settings.max_answer_bytes),
            settings,
            tombstones: tombstones::Tombstones::default(),
            superseded: superseded::Superseded::default(),
            routes: routes::Routes::default(),
            closed_table: None,
            is_key_limit_reached: false,
            previous: None,
            next_serial: record::PREDECESSOR_SERIAL + 1,
            next_waiter: 0,
            broken_invariants: 0,
        }
    }

    /// Decides how to handle an attempt.
    pub fn begin(
        &mut self,
        now: time::TimeMs,
        attempt: &attempt::Attempt,
    ) -> begin::BeginDecision<A> {
        self.advance(now);
        let scope = attempt.scope();
        if let Some(begin) = self.begin_known(&scope, attempt) {
            return begin;
        }
        match self.key_owner(&attempt.home, &scope) {
            key_owner::KeyOwner::ThisInstance(incarnation) => {
                self.begin_new(scope, incarnation, attempt)
            }
            key_owner::KeyOwner::OtherInstance(home) => begin::BeginDecision::Forward(home),
            key_owner::KeyOwner::Unknown(reason) => {
                begin::BeginDecision::Answer(outcome::Outcome::unknown(reason))
            }
        }
    }

    /// Ends a dispatch with its outcome, which the caller sends to the client and to each waiting attempt.
    ///
    /// A late outcome replaces the *unknown* that was answered when the key was overdue.
    pub fn finish(
        &mut self,
        now: time::TimeMs,
        permit: permit::DispatchPermit,
        outcome: outcome::Outcome<A>,
    ) -> begin::FinishedKey<A> {
        self.advance(now);
        let (scope, serial) = permit.into_parts();
        self.resolve(&scope, serial, outcome)
    }

    /// Ends overdue running keys as *unknown*, and removes outcomes whose retention window has ended.
    pub fn expire(&mut self, now: time::TimeMs) -> Vec<begin::FinishedKey<A>> {
        self.advance(now);
        let mut finished = Vec::new();
        while let Some((scope, record)) = self.records.pop_due(self.now) {
            if record.state.is_running() {
                finished.push(self.abandon(scope, record));
            } else {
                self.insert_tombstone(&scope, record.incarnation);
            }
        }
        self.expire_superseded();
        self.routes.expire(self.now);
        self.expire_previous();
        finished
    }

    /// Removes a waiter whose client disconnected or whose deadline passed.
    pub fn remove_waiter(&mut self, scope: &scope::Scope, waiter: permit::WaiterId) {
        self.records.remove_waiter(scope, waiter);
    }

    /// Records the successor of a departed home, as reported by the successor or a peer.
    pub fn record_successor(
        &mut self,
        now: time::TimeMs,
        departed: name::Home,
        successor: name::Home,
    ) {
        self.advance(now);
        let until = self.now + self.settings.window();
        self.routes.record_successor(departed, successor, until);
    }

    /// Returns the departed homes with known successors, including those this instance took over.
    ///
    /// The caller sends them to every instance that starts: the restarted process of a departed home has
    /// received no announcement, and would answer *unknown* to clients of its predecessor.
    pub fn successors(&self) -> impl Iterator<Item = (&name::Home, &name::Home)> {
        self.routes.successors()
    }

    /// Returns the home that lookup responses name for this instance.
    #[must_use]
    pub const fn home(&self) -> &name::Home {
        &self.own_home
    }

    /// Returns the number of keys that are running (dispatched, without an outcome) or stored with their
    /// outcome.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no key is running or stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.len() == 0
    }

    /// Returns the number of running keys, for which a planned stop waits.
    #[must_use]
    pub const fn running(&self) -> usize {
        self.records.running()
    }

    /// Returns the memory of all keys in bytes, including what running keys reserve.
    #[must_use]
    pub const fn bytes(&self) -> u64 {
        self.records.bytes()
    }

    /// Returns the number of dispatches refused because an invariant was broken; zero without a defect.
    #[must_use]
    pub const fn broken_invariants(&self) -> u64 {
        self.broken_invariants
    }

    /// Advances the table's time; a step back is ignored, so that no retention window gets longer or shorter.
    pub(super) fn advance(&mut self, now: time::TimeMs) {
        self.now = self.now.max(now);
    }

    fn begin_known(
        &mut self,
        scope: &scope::Scope,
        attempt: &attempt::Attempt,
    ) -> Option<begin::BeginDecision<A>> {
        let record = self.records.get(scope)?;
        if record.fingerprint != attempt.fingerprint {
            // If the request bound to the key ends as *not run*, this attempt must be superseded too.
            self.records.raise_highest_try(scope, attempt.try_number);
            let reason = refusal::RefusalReason::KeyReusedWithOtherBody;
            return Some(begin::BeginDecision::Answer(not_run(reason)));
        }
        if let record::State::Done { outcome, .. } = &record.state {
            return Some(begin::BeginDecision::Answer(outcome.clone()));
        }
        let waiter = permit::WaiterId::new(self.next_waiter);
        self.next_waiter += 1;
        let max_waiters = self.settings.max_waiters;
        let joined = self
            .records
            .join(scope, waiter, attempt.try_number, max_waiters);
        Some(if joined {
            begin::BeginDecision::Join(waiter)
        } else {
            begin::BeginDecision::Answer(outcome::Outcome::unknown(
                refusal::RefusalReason::TriesPending,
            ))
        })
    }

    fn begin_new(
        &mut self,
        scope: scope::Scope,
        incarnation: ids::Incarnation,
        attempt: &attempt::Attempt,
    ) -> begin::BeginDecision<A> {
        if let Some(closed_table) = &self.closed_table {
            return match closed_table.successor() {
                Some(successor) => begin::BeginDecision::Forward(successor.clone()),
                None => {
                    begin::BeginDecision::Answer(not_run(refusal::RefusalReason::InstanceLeaving))
                }
            };
        }
        if self.superseded.contains(&scope, attempt.try_number) {
            return begin::BeginDecision::Answer(not_run(refusal::RefusalReason::TrySuperseded));
        }
        self.is_key_limit_reached |= self.accepted_keys() >= self.settings.max_tombstones;
        if self.is_key_limit_reached {
            // Earlier attempts need no supersede entry: they are rejected too until the incarnation ends.
            return begin::BeginDecision::Answer(not_run(refusal::RefusalReason::KeyTableFull));
        }
        if self.is_full() {
            let attempts = superseded::SupersededAttempts {
                highest_try: attempt.try_number,
                incarnation,
            };
            self.supersede(&scope, attempts);
            return begin::BeginDecision::Answer(not_run(refusal::RefusalReason::KeyTableFull));
        }
        self.dispatch(scope, incarnation, attempt)
    }

    fn dispatch(
        &mut self,
        scope: scope::Scope,
        incarnation: ids::Incarnation,
        attempt: &attempt::Attempt,
    ) -> begin::BeginDecision<A> {
        // Two dispatches of one key would run a booking twice. The callers have looked up the key; the
        // check guards against a future change of a caller.
        if self.records.get(&scope).is_some() || self.tombstones.contains(scope.digest()) {
            return self.refuse_unsafe();
        }
        let serial = self.next_serial;
        self.next_serial += 1;
        let grace = time::SpanMs::new(self.settings.answer_grace_ms);
        let record = record::Record {
            incarnation,
            fingerprint: attempt.fingerprint,
            serial,
            highest_try: attempt.try_number,
            state: record::State::Running {
                abandon_at: self.now + attempt.time_left + grace,
                waiters: Vec::new(),
            },
        };
        self.records.insert(scope.clone(), record);
        begin::BeginDecision::Dispatch(permit::DispatchPermit::new(scope, serial))
    }

    fn refuse_unsafe(&mut self) -> begin::BeginDecision<A> {
        self.broken_invariants += 1;
        debug_assert!(false, "a key would be dispatched twice");
        begin::BeginDecision::Answer(outcome::Outcome::unknown(
            refusal::RefusalReason::InternalInvariant,
        ))
    }

    pub(super) fn resolve(
        &mut self,
        scope: &scope::Scope,
        serial: u64,
        outcome: outcome::Outcome<A>,
    ) -> begin::FinishedKey<A> {
        let accepts_outcome = self
            .records
            .get(scope)
            .is_some_and(|record| record.serial == serial && record.state.accepts_outcome());
        let record = if accepts_outcome {
            self.records.remove(scope)
        } else {
            None
        };
        let Some(record) = record else {
            // The outcome arrived after the retention window of its key; the tombstone stays.
            return begin::FinishedKey {
                outcome,
                waiters: Vec::new(),
            };
        };
        self.amend(scope, &record, &outcome);
        let mut waiters = Vec::new();
        if let record::State::Running {
            waiters: joined, ..
        } = record.state
        {
            waiters = joined;
        }
        let stored = self.outcome_to_store(&outcome);
        if let outcome::Outcome::NotRun(_) = outcome {
            let attempts = superseded::SupersededAttempts {
                highest_try: record.highest_try,
                incarnation: record.incarnation,
            };
            self.supersede(scope, attempts);
        } else {
            let state = record::State::Done {
                outcome: stored,
                until: self.now + self.settings.window(),
            };
            self.records
                .insert(scope.clone(), record::Record { state, ..record });
        }
        begin::FinishedKey { outcome, waiters }
    }

    fn outcome_to_store(&self, outcome: &outcome::Outcome<A>) -> outcome::Outcome<A> {
        match outcome {
            outcome::Outcome::Completed(response)
                if response.size_bytes() > self.settings.max_answer_bytes =>
            {
                outcome::Outcome::unknown(refusal::RefusalReason::AnswerNotKept)
            }
            other => other.clone(),
        }
    }

    fn amend(
        &mut self,
        scope: &scope::Scope,
        record: &record::Record<A>,
        outcome: &outcome::Outcome<A>,
    ) {
        let time_left = self.settings.window();
        if let Some(closed_table) = &mut self.closed_table {
            closed_table.amend(handover::HandoverRecord {
                scope: scope.clone(),
                incarnation: record.incarnation,
                fingerprint: record.fingerprint,
                highest_try: record.highest_try,
                state: handover::HandoverState::Done {
                    outcome: outcome.clone(),
                    time_left,
                },
            });
        }
    }

    /// Returns the number of keys that count against `max_tombstones`.
    ///
    /// Every stored key becomes a tombstone in the end, so stored keys count from the start.
    pub(super) fn accepted_keys(&self) -> usize {
        self.tombstones.len() + self.records.len() + self.superseded.len()
    }

    fn is_full(&self) -> bool {
        self.records.len() >= self.settings.max_entries
            || self.records.bytes_with_one_more() > self.settings.max_bytes
    }
}

const fn not_run<A>(reason: refusal::RefusalReason) -> outcome::Outcome<A> {
    let retry_after = reason.default_retry_after();
    outcome::Outcome::NotRun(outcome::NotRun::new(reason, retry_after))
}
