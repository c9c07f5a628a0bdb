//! The table of a home's idempotency keys.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_dispatch::home;
//!
//! let me: home::Home = "sask-a-1/3".parse()?;
//! let table: home::HomeTable<u64> = home::HomeTable::new(me, home::HomeSettings::default());
//! assert_eq!(table.running(), 0);
//! # Ok::<(), home::ParseHomeError>(())
//! ```

use damaskvane_core::{ids, time};

use crate::home::response_size::ResponseSize;
use crate::home::{
    attempt, begin, handover, name, permit, place, record, records, renewal, routes, scope,
    settings, superseded, surrender, tombstones,
};
use crate::outcome;
use crate::refusal;

/// Decides on every try of the keys whose home is here, and knows where the others belong.
#[derive(Debug)]
pub struct HomeTable<A> {
    pub(super) me: name::Home,
    pub(super) first_incarnation: ids::Incarnation,
    pub(super) settings: settings::HomeSettings,
    pub(super) now: time::TimeMs,
    pub(super) records: records::Records<A>,
    pub(super) tombstones: tombstones::Tombstones,
    pub(super) superseded: superseded::Superseded,
    pub(super) routes: routes::Routes,
    pub(super) surrender: Option<surrender::Surrender<A>>,
    /// Set for the rest of the incarnation once it has taken as many keys as it may.
    pub(super) is_worn_out: bool,
    pub(super) previous: Option<renewal::Previous>,
    next_serial: u64,
    next_waiter: u64,
    broken_invariants: u64,
}

impl<A: Clone + ResponseSize> HomeTable<A> {
    /// The empty table of an instance that has just started.
    #[must_use]
    pub fn new(me: name::Home, settings: settings::HomeSettings) -> Self {
        Self {
            first_incarnation: me.incarnation,
            me,
            now: time::TimeMs::ZERO,
            records: records::Records::new(settings.max_answer_bytes),
            settings,
            tombstones: tombstones::Tombstones::default(),
            superseded: superseded::Superseded::default(),
            routes: routes::Routes::default(),
            surrender: None,
            is_worn_out: false,
            previous: None,
            next_serial: record::PREDECESSORS_SERIAL + 1,
            next_waiter: 0,
            broken_invariants: 0,
        }
    }

    /// Decides on a try.
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
        match self.place(&attempt.home, &scope) {
            place::Place::Here(incarnation) => self.begin_new(scope, incarnation, attempt),
            place::Place::Elsewhere(home) => begin::BeginDecision::Forward(home),
            place::Place::Lost(reason) => {
                begin::BeginDecision::Answer(outcome::Outcome::unknown(reason))
            }
        }
    }

    /// Ends a dispatch with its outcome, which goes to the client and to each waiter.
    ///
    /// It may come late: an outcome replaces the *unknown* that was answered in its place.
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

    /// Gives up overdue outcomes as *unknown*, and drops what is older than its window.
    pub fn expire(&mut self, now: time::TimeMs) -> Vec<begin::FinishedKey<A>> {
        self.advance(now);
        let mut finished = Vec::new();
        while let Some((scope, record)) = self.records.pop_due(self.now) {
            if record.state.is_running() {
                finished.push(self.give_up(scope, record));
            } else {
                self.bury(&scope, record.incarnation);
            }
        }
        self.bury_superseded();
        self.routes.expire(self.now);
        self.end_grace();
        finished
    }

    /// Forgets a waiter whose client went away or whose deadline passed.
    pub fn remove_waiter(&mut self, scope: &scope::Scope, waiter: permit::WaiterId) {
        self.records.remove_waiter(scope, waiter);
    }

    /// Notes who answers for a departed home, as its successor or a peer tells.
    pub fn record_successor(
        &mut self,
        now: time::TimeMs,
        departed: name::Home,
        successor: name::Home,
    ) {
        self.advance(now);
        let until = self.now + self.settings.window();
        self.routes.learn(departed, successor, until);
    }

    /// The departed homes whose successor is known, this instance's own adoptions included.
    ///
    /// Tell them to every instance that starts: the restarted process of a departed home has heard no
    /// announcement, and would answer *unknown* to clients of its predecessor that come to it.
    pub fn successors(&self) -> impl Iterator<Item = (&name::Home, &name::Home)> {
        self.routes.successors()
    }

    /// The home that look-ups name for this instance.
    #[must_use]
    pub const fn home(&self) -> &name::Home {
        &self.me
    }

    /// How many keys are kept with their outcome or running.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no key is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.len() == 0
    }

    /// How many keys run: what a planned stop waits for.
    #[must_use]
    pub const fn running(&self) -> usize {
        self.records.running()
    }

    /// How many bytes the kept keys take, with what running ones reserve.
    #[must_use]
    pub const fn bytes(&self) -> u64 {
        self.records.bytes()
    }

    /// How many unsafe actions were refused because an invariant was broken; always zero.
    #[must_use]
    pub const fn broken_invariants(&self) -> u64 {
        self.broken_invariants
    }

    /// A clock that steps back is ignored: a window never grows shorter or longer by it.
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
            // If the body that has the key is not run in the end, this try stays barred all the same.
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
        if let Some(surrender) = &self.surrender {
            return match surrender.successor() {
                Some(successor) => begin::BeginDecision::Forward(successor.clone()),
                None => {
                    begin::BeginDecision::Answer(not_run(refusal::RefusalReason::InstanceLeaving))
                }
            };
        }
        if self.superseded.covers(&scope, attempt.try_number) {
            return begin::BeginDecision::Answer(not_run(refusal::RefusalReason::TrySuperseded));
        }
        self.is_worn_out |= self.taken_keys() >= self.settings.max_tombstones;
        if self.is_worn_out {
            // No bar is needed: earlier tries are refused too, until the incarnation ends.
            return begin::BeginDecision::Answer(not_run(refusal::RefusalReason::KeyTableFull));
        }
        if self.is_full() {
            let bar = superseded::Barred {
                through: attempt.try_number,
                incarnation,
            };
            self.bar(&scope, bar);
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
        // Two dispatches of one key run a booking twice. The callers have looked the key up; this
        // stands for the day when one of them is changed.
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
                given_up_at: self.now + attempt.time_left + grace,
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
        let is_open = self
            .records
            .get(scope)
            .is_some_and(|record| record.serial == serial && record.state.is_open());
        let record = if is_open {
            self.records.remove(scope)
        } else {
            None
        };
        let Some(record) = record else {
            // The outcome came after its window; the tombstone stays.
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
        let kept = self.outcome_to_keep(&outcome);
        if let outcome::Outcome::NotRun(_) = outcome {
            let bar = superseded::Barred {
                through: record.highest_try,
                incarnation: record.incarnation,
            };
            self.bar(scope, bar);
        } else {
            let state = record::State::Done {
                outcome: kept,
                until: self.now + self.settings.window(),
            };
            self.records
                .insert(scope.clone(), record::Record { state, ..record });
        }
        begin::FinishedKey { outcome, waiters }
    }

    fn outcome_to_keep(&self, outcome: &outcome::Outcome<A>) -> outcome::Outcome<A> {
        match outcome {
            outcome::Outcome::Completed(answer)
                if answer.size_bytes() > self.settings.max_answer_bytes =>
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
        if let Some(surrender) = &mut self.surrender {
            surrender.amend(handover::HandoverRecord {
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

    /// Every kept key becomes a tombstone one day, so both count against that bound now.
    pub(super) fn taken_keys(&self) -> usize {
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
