//! Tokens: who asks whom, and who lends.

use damaskvane_core::ids;
use damaskvane_core::time::{SpanMs, TimeMs};
use damaskvane_routing::pool::ServerLimit;
use damaskvane_routing::quota::{ServerLimitSettings, ShareTerms};
use rand::RngExt;

use super::design::Design;
use super::event::Event;
use super::instance::{Ask, Waiter};
use super::world::World;

const ASK_TIMEOUT_MS: u64 = 95;
const UNRESPONSIVE_MS: u64 = 1_000;
const UNREACHABLE_MS: u64 = 250;
const TOKEN_TTL_MS: u64 = 100;
const HEARTBEAT_TIMEOUT_MS: u64 = 2_600;
/// Priority of all requests of the model.
const PRIORITY: u32 = 0;

impl World {
    /// Returns the holders of the server's pools. The first instances are of different zones.
    pub(super) fn holders(&self) -> usize {
        self.settings.design.holders(self.instances.len())
    }

    fn is_holder(&self, at: usize) -> bool {
        at < self.holders()
    }

    /// Returns whether all ask the holders in one order.
    fn is_led(&self) -> bool {
        matches!(self.settings.design, Design::Leases(_))
    }

    /// Returns how many holders an instance takes for lost.
    fn gone(&self, at: usize) -> usize {
        let heard = &self.instances[at].heard_ms[..self.holders()];
        let others = (0..heard.len()).filter(|other| !self.is_alive(at, *other));
        others.count()
    }

    /// Returns whether an instance has heard of another one lately.
    fn is_alive(&self, at: usize, other: usize) -> bool {
        let heard_ms = self.instances[at].heard_ms[other];
        other == at || self.now_ms - heard_ms < HEARTBEAT_TIMEOUT_MS
    }

    fn terms(&self, at: usize) -> Option<ShareTerms> {
        let rate = self.instances[at].limit.rate()?;
        let settings = ServerLimitSettings::default();
        Some(settings.terms(rate, self.holders(), self.gone(at)))
    }

    /// Sends a caller's request if the server has no limit or there is a token for it.
    pub(super) fn call(&mut self, at: usize) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let limit = self.instances[at].limit;
        if limit.rate().is_none() {
            self.send_request(at);
        } else if !limit.may_have_token(now, PRIORITY) {
            self.outcome.refused += 1;
        } else if self.is_holder(at) && !self.is_led() {
            let started_ms = now_ms;
            self.take_or_borrow(at, Waiter::Own { started_ms });
        } else {
            let ask = Ask {
                started_ms: now_ms,
                ..Ask::default()
            };
            self.ask_next(at, ask);
        }
    }

    pub(super) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Asks the next holder for a token, those of the own zone first.
    fn ask_next(&mut self, at: usize, mut ask: Ask) {
        let now_ms = self.now_ms;
        let zone = self.instances[at].zone;
        let unresponsive = &self.instances[at].unresponsive;
        let is_usable = |one: &usize| unresponsive.get(one).is_none_or(|until| *until <= now_ms);
        let mut candidates: Vec<usize> = (0..self.holders())
            .filter(|one| !ask.tried.contains(one) && is_usable(one) && self.is_alive(at, *one))
            .collect();
        if !self.is_led() {
            let start = self.random.random_range(0..self.holders());
            candidates.sort_by_key(|one| {
                let distance = (one + self.holders() - start) % self.holders();
                (self.instances[*one].zone != zone, distance)
            });
        }
        let Some(holder) = candidates.first().copied() else {
            self.pass_over(at, UNREACHABLE_MS);
            return;
        };
        ask.tried.push(holder);
        if holder == at {
            if self.lent_to(at).is_some() {
                self.ask_next(at, ask);
            } else {
                let started_ms = ask.started_ms;
                self.take(at, Waiter::Own { started_ms });
            }
            return;
        }
        let id = self.next_id();
        ask.waits_for = holder;
        self.instances[at].asks.insert(id, ask);
        let event = Event::Ask {
            from: at,
            to: holder,
            id,
            is_relayed: false,
        };
        self.send(at, holder, event);
        self.schedule(now_ms + ASK_TIMEOUT_MS, Event::AskTimeout { at, id });
    }

    pub(super) fn time_out(&mut self, at: usize, id: u64) {
        let now_ms = self.now_ms;
        if let Some(ask) = self.instances[at].asks.remove(&id) {
            let unresponsive = &mut self.instances[at].unresponsive;
            unresponsive.insert(ask.waits_for, now_ms + UNRESPONSIVE_MS);
            self.ask_next(at, ask);
        }
    }

    pub(super) fn serve_ask(&mut self, from: usize, to: usize, id: u64, is_relayed: bool) {
        let asker = self.instances[from].limit;
        let now = self.now();
        let holder = &mut self.instances[to];
        apply_claim(&mut holder.limit, now, asker);
        if holder.limit.has_ended() {
            self.reply(to, Waiter::Other { from, id }, 0);
            return;
        }
        match self.lent_to(to) {
            None => self.take(to, Waiter::Other { from, id }),
            // The reply goes straight to the one that asked; the gateway relays it as well.
            Some(leader) if !is_relayed => {
                let event = Event::Ask {
                    from,
                    to: leader,
                    id,
                    is_relayed: true,
                };
                self.send(to, leader, event);
            }
            Some(_) => {}
        }
    }

    /// Returns the holder to which the share of this one is lent.
    fn lent_to(&self, at: usize) -> Option<usize> {
        let lent_to = self.instances[at].share.lent_to(self.now())?;
        (0..self.holders()).find(|one| name(*one) == *lent_to)
    }

    /// Takes a token from an instance that holds some.
    fn take(&mut self, at: usize, waiter: Waiter) {
        if !self.is_led() {
            self.take_or_borrow(at, waiter);
            return;
        }
        self.renew_leases(at);
        let now = self.now();
        let Some(terms) = self.terms(at) else {
            self.reply(at, waiter, 0);
            return;
        };
        let taken = self.instances[at].share.take(now, terms, PRIORITY);
        let wait_ms = taken.err().map_or(0, |denial| denial.retry_after_ms);
        self.reply(at, waiter, wait_ms);
    }

    fn renew_leases(&mut self, at: usize) {
        let now = self.now();
        if !self.instances[at].share.takes_renewal(now) {
            return;
        }
        let (asked_ms, incarnation) = (self.now_ms, self.instances[at].incarnation);
        for to in (0..self.holders()).filter(|one| *one != at) {
            let event = Event::AskLease {
                from: at,
                to,
                asked_ms,
                incarnation,
            };
            self.send(at, to, event);
        }
    }

    pub(super) fn lend_share(&mut self, from: usize, to: usize, asked_ms: u64, incarnation: u64) {
        let asker = self.instances[from].limit;
        let now = self.now();
        let limit = &mut self.instances[to].limit;
        apply_claim(limit, now, asker);
        let Some(terms) = self.terms(to) else {
            return;
        };
        let share = &mut self.instances[to].share;
        if let Some(tokens) = share.lend(now, terms, &name(from), from < to) {
            let event = Event::Lease {
                to: from,
                from: to,
                asked_ms,
                incarnation,
                tokens,
            };
            self.send(to, from, event);
        }
    }

    pub(super) fn receive_lease(
        &mut self,
        to: usize,
        from: usize,
        asked_ms: u64,
        incarnation: u64,
        tokens: f64,
    ) {
        let now = self.now();
        let Some(terms) = self.terms(to) else {
            return;
        };
        let instance = &mut self.instances[to];
        if instance.incarnation == incarnation {
            let asked_at = TimeMs::new(asked_ms);
            instance
                .share
                .receive(now, terms, &name(from), asked_at, tokens);
        }
    }

    pub(super) fn receive_reply(&mut self, to: usize, from: usize, id: u64, wait_ms: u64) {
        self.instances[to].unresponsive.remove(&from);
        let Some(ask) = self.instances[to].asks.remove(&id) else {
            return;
        };
        if wait_ms > 0 {
            self.pass_over(to, wait_ms);
        } else if self.now_ms - ask.started_ms < TOKEN_TTL_MS {
            self.use_token(to, ask.started_ms);
        } else {
            self.outcome.refused += 1;
        }
    }

    fn use_token(&mut self, at: usize, started_ms: u64) {
        self.outcome.waited_ms += self.now_ms - started_ms;
        self.outcome.granted += 1;
        self.send_request(at);
    }

    fn pass_over(&mut self, at: usize, ms: u64) {
        self.outcome.refused += 1;
        let wait = SpanMs::new(ms + self.random.random_range(0..=ms / 2));
        let until = self.now() + wait;
        self.instances[at].limit.record_refused(until, PRIORITY);
    }

    /// Tells the one that waits for a token: `wait_ms` is 0 with a token.
    pub(super) fn reply(&mut self, at: usize, waiter: Waiter, wait_ms: u64) {
        match waiter {
            Waiter::Own { started_ms } if wait_ms == 0 => self.use_token(at, started_ms),
            Waiter::Own { .. } => self.pass_over(at, wait_ms),
            Waiter::Other { from, id } => {
                let reply = Event::Reply {
                    to: from,
                    from: at,
                    id,
                    wait_ms,
                };
                self.send(at, from, reply);
            }
        }
    }
}

/// Applies what the sender of a message knows of the limit.
pub fn apply_claim(limit: &mut ServerLimit, now: TimeMs, asker: ServerLimit) {
    let sent_at = now.get().saturating_sub(asker.age(now).get());
    limit.apply_report(now, TimeMs::new(sent_at), asker.rate());
}

/// Returns the name of an instance.
fn name(at: usize) -> ids::InstanceId {
    format!("i-{at}").parse().expect("a valid name")
}
