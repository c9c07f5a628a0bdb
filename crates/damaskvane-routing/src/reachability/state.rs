//! The evidence on whether this instance reaches the backend servers, and what follows from it.

use std::collections::{BTreeMap, BTreeSet};

use damaskvane_core::ids;
use damaskvane_core::time::{SpanMs, TimeMs};

use crate::reachability::failure::Failure;
use crate::reachability::{Check, ConnectFailure, ReachabilitySettings};

/// Whether this instance reaches the backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// Connections open, or too few have failed to doubt that.
    Direct,
    /// Several servers have failed and no connection has opened since. They may have died, or this instance may be
    /// partitioned from them.
    Doubtful,
    /// Another instance reaches a server that this instance does not reach: this instance is partitioned from the
    /// servers.
    Partitioned,
}

impl Reach {
    /// Returns the label for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Direct => "direct",
            Self::Doubtful => "doubtful",
            Self::Partitioned => "partitioned",
        }
    }

    /// Returns the value of the gauge: 0, 1 or 2.
    #[must_use]
    pub const fn as_gauge(self) -> i64 {
        match self {
            Self::Direct => 0,
            Self::Doubtful => 1,
            Self::Partitioned => 2,
        }
    }
}

/// What this instance knows of its own connections to backend servers.
#[derive(Debug)]
pub struct Reachability {
    settings: ReachabilitySettings,
    /// The servers that have failed since the last connection that opened without a tunnel.
    failures: BTreeMap<ids::BackendServerId, Failure>,
    /// The servers that only other instances reach.
    indirect: BTreeSet<ids::BackendServerId>,
    is_partitioned: bool,
    /// The servers to which connections have lately opened without a tunnel, in a partition, with the time of the first.
    reopened: BTreeMap<ids::BackendServerId, TimeMs>,
    /// When a server last answered, or a connection opened, without a tunnel.
    contact_at: TimeMs,
    next_check_at: TimeMs,
    /// When another server was last opened because one had failed.
    control_at: TimeMs,
    last_checked: Option<ids::BackendServerId>,
}

impl Reachability {
    /// Creates the state of an instance that has opened no connection yet.
    #[must_use]
    pub const fn new(settings: ReachabilitySettings) -> Self {
        Self {
            settings,
            failures: BTreeMap::new(),
            indirect: BTreeSet::new(),
            is_partitioned: false,
            reopened: BTreeMap::new(),
            contact_at: TimeMs::ZERO,
            next_check_at: TimeMs::ZERO,
            control_at: TimeMs::ZERO,
            last_checked: None,
        }
    }

    /// Returns whether this instance reaches the servers.
    #[must_use]
    pub fn reach(&self) -> Reach {
        if self.is_partitioned {
            Reach::Partitioned
        } else if self.failures.len() >= self.settings.min_failing_servers {
            Reach::Doubtful
        } else {
            Reach::Direct
        }
    }

    /// Returns whether connections to the server are opened through another instance.
    #[must_use]
    pub fn needs_tunnel(&self, server: &ids::BackendServerId) -> bool {
        self.is_partitioned || self.indirect.contains(server)
    }

    /// Returns the servers that have failed since a connection last opened without a tunnel.
    pub fn failing(&self) -> impl Iterator<Item = &ids::BackendServerId> {
        self.failures.keys()
    }

    /// Returns the number of servers that only other instances reach.
    #[must_use]
    pub fn indirect_servers(&self) -> usize {
        self.indirect.len()
    }

    /// Returns the last sign of life of any server, by which this instance may tell others of servers that failed
    /// before it; `None` while the failures may be this instance's own.
    #[must_use]
    pub fn blame_until(&self) -> Option<TimeMs> {
        (self.reach() == Reach::Direct).then_some(self.contact_at)
    }

    /// Records that a connection opened without a tunnel. Returns the servers whose failures were this instance's own.
    pub fn record_opened(
        &mut self,
        now: TimeMs,
        server: &ids::BackendServerId,
    ) -> Vec<ids::BackendServerId> {
        let was_isolated = self.is_partitioned || self.is_isolated(now);
        let was_doubtful = self.reach() != Reach::Direct;
        self.contact_at = now;
        if !self.is_partitioned {
            self.indirect.remove(server);
        } else if self.is_return(now, server) {
            self.end_partition();
        }
        let failures = core::mem::take(&mut self.failures);
        if was_isolated && was_doubtful {
            failures.into_keys().collect()
        } else {
            Vec::new()
        }
    }

    /// Returns whether servers have failed for long and none has given a sign of life since the first of them did.
    fn is_isolated(&self, now: TimeMs) -> bool {
        let first_at = self.failures.values().map(|one| one.first_at).min();
        let isolation = SpanMs::new(self.settings.isolation_ms);
        first_at.is_some_and(|at| self.contact_at < at && now.since(at) >= isolation)
    }

    /// Returns whether the partition is over now that a connection to the server has opened: connections to two servers
    /// have, or those of two checks to the same one.
    fn is_return(&mut self, now: TimeMs, server: &ids::BackendServerId) -> bool {
        let window = SpanMs::new(self.settings.reopened_window_ms);
        self.reopened.retain(|_, at| now.since(*at) < window);
        let first_at = *self.reopened.entry(server.clone()).or_insert(now);
        let is_confirmed = now.since(first_at).get() * 2 >= self.settings.return_check_ms;
        is_confirmed || self.reopened.len() >= self.settings.min_reopened_servers
    }

    fn end_partition(&mut self) {
        self.is_partitioned = false;
        self.indirect.clear();
        self.reopened.clear();
    }

    /// Records that a connection could not be opened without a tunnel.
    pub fn record_open_failed(
        &mut self,
        now: TimeMs,
        server: &ids::BackendServerId,
        kind: ConnectFailure,
    ) {
        self.reopened.remove(server);
        self.expire(now);
        let failure = self.failures.entry(server.clone()).or_insert(Failure {
            first_at: now,
            last_at: now,
            kind,
        });
        failure.last_at = now;
        failure.kind = kind;
    }

    /// Records that a server answered on a connection without a tunnel.
    pub fn record_answered(&mut self, now: TimeMs) {
        self.contact_at = now;
        self.failures
            .retain(|_, failure| failure.kind != ConnectFailure::Silent);
    }

    /// Records that a request sent at `sent_at` without a tunnel has got no answer for far longer than usual.
    ///
    /// It is evidence only if no other server has answered since: otherwise this server alone is slow or dead.
    pub fn record_unanswered(
        &mut self,
        now: TimeMs,
        server: &ids::BackendServerId,
        sent_at: TimeMs,
    ) {
        if self.is_partitioned || self.contact_at >= sent_at {
            return;
        }
        let kind = ConnectFailure::Silent;
        self.failures.entry(server.clone()).or_insert(Failure {
            first_at: now,
            last_at: now,
            kind,
        });
    }

    /// Records that another instance opened a connection to a server that this instance failed to reach just before.
    /// Returns whether that shows that this instance is partitioned from the servers.
    pub fn record_opened_by_peer(&mut self, now: TimeMs, server: &ids::BackendServerId) -> bool {
        let is_new_evidence = self.reach() == Reach::Doubtful;
        self.indirect.insert(server.clone());
        if is_new_evidence {
            self.is_partitioned = true;
            self.indirect.extend(self.failures.keys().cloned());
            self.next_check_at = now + SpanMs::new(self.settings.return_check_ms);
        }
        is_new_evidence
    }

    /// Removes the servers that are no longer known: they are no evidence of anything.
    pub fn retain_known(&mut self, is_known: impl Fn(&ids::BackendServerId) -> bool) {
        self.failures.retain(|id, _| is_known(id));
        self.indirect.retain(|id| is_known(id));
        self.reopened.retain(|id, _| is_known(id));
    }

    /// Returns the check to run now, if one is due, and postpones the next one. `servers` are those that could be reached
    /// if there were no partition.
    pub fn take_due_check<'a>(
        &mut self,
        now: TimeMs,
        servers: impl Iterator<Item = &'a ids::BackendServerId>,
    ) -> Option<Check> {
        if now < self.next_check_at {
            return None;
        }
        self.expire(now);
        if self.reach() == Reach::Doubtful {
            self.next_check_at = now + SpanMs::new(self.settings.doubt_check_ms);
            return Some(Check::Doubt(self.failing_in_turn()));
        }
        if self.needs_control() {
            self.control_at = now;
            return Some(Check::Control);
        }
        let candidates: BTreeSet<ids::BackendServerId> = if self.is_partitioned {
            let indirect = self.indirect.iter().cloned();
            servers.cloned().chain(indirect).collect()
        } else {
            self.indirect.clone()
        };
        let per_check = if self.is_partitioned {
            self.settings.min_reopened_servers
        } else {
            1
        };
        let in_turn = self.in_turn(candidates.into_iter(), per_check);
        self.last_checked = in_turn.last().cloned().or(self.last_checked.take());
        if in_turn.is_empty() {
            return None;
        }
        self.next_check_at = now + SpanMs::new(self.settings.return_check_ms);
        Some(Check::Return(in_turn))
    }

    /// Returns whether a server has failed since the last control, and no server has given a sign of life since.
    fn needs_control(&self) -> bool {
        let mut failures = self.failures.values();
        !self.is_partitioned
            && failures.any(|one| one.last_at >= self.control_at && self.contact_at < one.last_at)
    }

    /// Returns the next servers after those of the last check, and then from the beginning again.
    fn in_turn(
        &self,
        servers: impl Iterator<Item = ids::BackendServerId>,
        max_servers: usize,
    ) -> Vec<ids::BackendServerId> {
        let after = self.last_checked.as_ref();
        let is_later = |id: &ids::BackendServerId| after.is_none_or(|after| id > after);
        let (later, earlier): (Vec<_>, Vec<_>) = servers.partition(is_later);
        later.into_iter().chain(earlier).take(max_servers).collect()
    }

    fn failing_in_turn(&mut self) -> Vec<(ids::BackendServerId, ConnectFailure)> {
        let failing = self.failures.keys().cloned();
        let taken = self.in_turn(failing, self.settings.servers_per_check);
        self.last_checked = taken.last().cloned();
        let with_kinds = taken.into_iter().filter_map(|id| {
            let kind = self.failures.get(&id)?.kind;
            Some((id, kind))
        });
        with_kinds.collect()
    }

    /// Removes old failures, unless no server has given a sign of life since.
    fn expire(&mut self, now: TimeMs) {
        let ttl = SpanMs::new(self.settings.failure_ttl_ms);
        let contact_at = self.contact_at;
        self.failures
            .retain(|_, failure| now.since(failure.last_at) < ttl || contact_at <= failure.last_at);
    }
}
