//! The tokens of one team in one availability zone.

use damaskvane_core::time::{SpanMs, TimeMs};

use crate::quota::recent_count::RecentCount;
use crate::quota::recent_peak::RecentPeak;
use crate::quota::{PoolLimit, PoolState};

/// Time over which a pool's demand is averaged, and for which a pool keeps tokens for its own zone when it lends.
const DEMAND_MS: f64 = 300.0;
/// Time for which a pool that uses an unused burst keeps tokens or asks for them: about a round of borrowing.
/// Tokens that wait in a pool lower its rate.
const NEAR_MS: f64 = 50.0;
/// Factor by which such a pool asks for more than it needs: some lenders have nothing to spare.
const ASKED_FACTOR: f64 = 1.5;
/// Time whose earnings find room beside the tokens that other pools were asked for.
const OWN_ROOM_MS: f64 = 100.0;
/// Largest part of the free room that stays for earnings: a small pool with a high rate must still be able to borrow.
const MAX_OWN_ROOM: f64 = 0.5;
/// Exposure below which a lower one doesn't raise the rate, so that single tokens don't change it.
const MIN_PEAK: f64 = 2.0;
/// Reserved room below which no token can arrive: messages carry thousandths. Sums of fractions leave such rests.
const MIN_RESERVED: f64 = 0.000_5;
/// Shortest and longest time after which a caller should ask again.
const MIN_RETRY_MS: f64 = 10.0;
const MAX_RETRY_MS: f64 = 2_000.0;

/// A pool of tokens. A pool begins empty, so that a process that starts anew can't spend a burst twice.
///
/// Its exposure at a moment is the number of tokens that it holds, and of those that arrive or return later and were on
/// their way or taken then. The requests of a window use the exposure of a moment before it and what is earned since.
#[derive(Debug, Clone)]
pub struct TokenPool {
    level: f64,
    updated: TimeMs,
    /// Room that is kept free for tokens that other pools were asked for. Without it the pools would earn tokens while
    /// others are on their way, and hold more than the quota in sum.
    reserved: f64,
    /// Tokens added since there is reserved room, other than by earning, and the most that were held beside them.
    received: f64,
    held_beside: f64,
    /// Tokens earned since there is reserved room, and the time in milliseconds.
    earned_beside: f64,
    reserved_ms: u64,
    /// Tokens earned since they were last asked for.
    earned: f64,
    taken: RecentCount,
    returned: RecentCount,
    /// Highest exposure in the time whose earnings may be used in one window, and in the time to live of a token.
    peaks: Option<Peaks>,
    limit: Option<PoolLimit>,
    demand: f64,
    demand_updated: TimeMs,
}

#[derive(Debug, Clone)]
struct Peaks {
    earning: RecentPeak,
    /// The same, with what was exposed under a limit before the last lower one.
    known: RecentPeak,
    ttl: RecentPeak,
}

impl TokenPool {
    /// Creates an empty pool that earns tokens from `since` on.
    #[must_use]
    pub fn new(since: TimeMs) -> Self {
        Self {
            level: 0.0,
            updated: since,
            reserved: 0.0,
            received: 0.0,
            held_beside: 0.0,
            earned_beside: 0.0,
            reserved_ms: 0,
            earned: 0.0,
            taken: RecentCount::default(),
            returned: RecentCount::default(),
            peaks: None,
            limit: None,
            demand: 0.0,
            demand_updated: since,
        }
    }

    /// Takes one token for a request of this priority, 0 being the most urgent; returns whether there was one.
    pub fn take(&mut self, now: TimeMs, limit: PoolLimit, priority: u32) -> bool {
        self.earn(now, limit);
        if self.level < limit.needed(priority) {
            return false;
        }
        self.level -= 1.0;
        self.taken.record(now, limit.token_ttl_ms);
        true
    }

    /// Counts a request that needs a token.
    pub fn record_demand(&mut self, now: TimeMs) {
        self.demand = self.demand(now) + 1.0;
        self.demand_updated = now;
    }

    /// Puts back a token whose request was certainly not run, while its time to live lasts. A token that returns when no
    /// taken one is alive is lost.
    pub fn give_back(&mut self, now: TimeMs, limit: PoolLimit) {
        self.earn(now, limit);
        if !self.taken.remove(now, limit.token_ttl_ms) {
            return;
        }
        if limit.uses_unused_burst {
            self.returned.record(now, limit.token_ttl_ms);
            let held = self.peaks.as_mut().map_or(0.0, |peaks| peaks.ttl.get(now));
            let exposure = self.reserved + self.with_returned(now, limit, held);
            if exposure > limit.max_exposure() {
                return;
            }
            if let Some(peaks) = &mut self.peaks {
                peaks.earning.record(now, exposure);
                peaks.known.record(now, exposure);
            }
        }
        self.add(1.0, limit);
    }

    /// Takes out at most `asked` tokens for another pool; what this zone needs itself stays.
    pub fn lend(&mut self, now: TimeMs, limit: PoolLimit, asked: f64) -> f64 {
        self.earn(now, limit);
        let spare = (self.level - self.near_demand(now, limit)).max(0.0);
        let lent = asked.clamp(0.0, spare);
        self.level -= lent;
        lent
    }

    /// Reserves room for tokens of `lenders` other pools, which a request of this priority waits for; returns how many to
    /// ask each of them for.
    pub fn reserve(&mut self, now: TimeMs, limit: PoolLimit, lenders: usize, priority: u32) -> f64 {
        self.earn(now, limit);
        let lenders = lenders.max(1) as f64;
        let needed = limit.needed(priority) - self.level + self.near_demand(now, limit);
        let wanted = if limit.uses_unused_burst {
            needed.min(needed * ASKED_FACTOR / lenders)
        } else {
            needed
        };
        let each = wanted.min(self.free_room(now, limit) / lenders).max(0.0);
        self.reserved += each * lenders;
        self.record_peaks(now, limit);
        each
    }

    /// Adds the tokens that another pool lent, as far as room is reserved for them.
    pub fn receive(&mut self, now: TimeMs, limit: PoolLimit, lent: f64) {
        self.earn(now, limit);
        let received = lent.clamp(0.0, self.reserved);
        self.reserved -= received;
        self.received += received;
        self.add(received, limit);
        self.record_peaks(now, limit);
    }

    /// Gives up reserved room: tokens that arrive later are not added.
    pub fn release(&mut self, tokens: f64) {
        let released = tokens.clamp(0.0, self.reserved);
        self.reserved -= released;
        let limit = self.limit.filter(|one| one.uses_unused_burst);
        if let Some(limit) = limit
            && self.reserved < MIN_RESERVED
        {
            self.earn_deferred(limit, released);
        }
        self.settle();
    }

    /// Returns the tokens earned since the last call.
    pub const fn take_earned(&mut self) -> f64 {
        core::mem::replace(&mut self.earned, 0.0)
    }

    /// Returns what the pool holds, earns and is asked for now.
    pub fn state(&mut self, now: TimeMs, limit: PoolLimit) -> PoolState {
        self.earn(now, limit);
        PoolState {
            level: self.level,
            rate_per_s: self.rate_per_s(now, limit),
            demand_per_s: self.demand(now) * 1_000.0 / DEMAND_MS,
        }
    }

    /// Returns the time until the pool will have earned a token for this priority beyond those for which others wait.
    #[must_use]
    pub fn retry_after_ms(&self, now: TimeMs, limit: PoolLimit, priority: u32) -> u64 {
        let missing = (limit.needed(priority) - self.level).max(0.0) + self.demand(now);
        let wait_ms = missing / limit.rate_per_s.max(f64::MIN_POSITIVE) * 1_000.0;
        wait_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS) as u64
    }

    /// Returns the number of requests in the last [`DEMAND_MS`], as an average that decays.
    fn demand(&self, now: TimeMs) -> f64 {
        let elapsed_ms = now.since(self.demand_updated).get() as f64;
        self.demand * (-elapsed_ms / DEMAND_MS).exp()
    }

    /// Returns the tokens that the pool keeps or asks for beyond those that it needs at once.
    fn near_demand(&self, now: TimeMs, limit: PoolLimit) -> f64 {
        let demand = self.demand(now);
        if limit.uses_unused_burst {
            demand * NEAR_MS / DEMAND_MS
        } else {
            demand
        }
    }

    /// Returns the room that may be reserved: the pool's own earnings must find room meanwhile.
    fn free_room(&mut self, now: TimeMs, limit: PoolLimit) -> f64 {
        let free = limit.capacity - self.level - self.reserved;
        let earned = self.rate_per_s(now, limit) * OWN_ROOM_MS / 1_000.0;
        free - earned.min(free * MAX_OWN_ROOM)
    }

    /// Returns an exposure that also counts the tokens that returned within their time to live.
    ///
    /// Before they returned, the pool has earned too much by the part that is added here to their number.
    fn with_returned(&mut self, now: TimeMs, limit: PoolLimit, exposure: f64) -> f64 {
        let returned = self.returned.get(now, limit.token_ttl_ms);
        let ahead = limit.token_ttl_ms as f64 / limit.window_ms.max(1) as f64;
        returned.mul_add(1.0 + ahead, exposure)
    }

    /// Returns the tokens that the pool earns in a second now.
    fn rate_per_s(&mut self, now: TimeMs, limit: PoolLimit) -> f64 {
        let peak = self.peak(now, limit);
        limit.rate_after(peak.max(MIN_PEAK.min(limit.capacity)))
    }

    /// Returns the highest exposure of the time whose earnings may be used in one window.
    fn peak(&mut self, now: TimeMs, limit: PoolLimit) -> f64 {
        let recorded = self
            .peaks
            .as_mut()
            .map_or(0.0, |peaks| peaks.earning.get(now));
        let on_their_way = self.received + self.reserved;
        let exposure = if on_their_way > 0.0 {
            self.held_beside.max(self.level - self.received) + on_their_way
        } else {
            self.level
        };
        recorded.max(self.with_returned(now, limit, exposure))
    }

    /// Records the exposure. What was received counts as on its way since it was asked for.
    fn record_peaks(&mut self, now: TimeMs, limit: PoolLimit) {
        self.held_beside = self.held_beside.max(self.level - self.received);
        let exposure = self.held_beside + self.received;
        let with_returned = self.with_returned(now, limit, exposure);
        if let Some(peaks) = &mut self.peaks {
            peaks.earning.record(now, with_returned);
            peaks.known.record(now, with_returned);
            peaks.ttl.record(now, exposure);
        }
        self.settle();
    }

    /// Ends the count of received tokens if no more may arrive.
    const fn settle(&mut self) {
        if self.reserved < MIN_RESERVED {
            self.reserved = 0.0;
            self.received = 0.0;
            self.held_beside = 0.0;
            self.earned_beside = 0.0;
            self.reserved_ms = 0;
        }
    }

    /// Earns what reserved room has kept the pool from earning, as if these tokens had arrived in that room.
    fn earn_deferred(&mut self, limit: PoolLimit, released: f64) {
        let now = self.updated;
        let received = self.received;
        self.received -= self.reserved;
        let peak = self.peak(now, limit);
        self.received = received;
        let reserved_s = self.reserved_ms as f64 / 1_000.0;
        let missed = limit.rate_after(peak) * reserved_s - self.earned_beside;
        let deferred = missed.clamp(0.0, released);
        self.received += deferred;
        self.earned += deferred;
        self.add(deferred, limit);
        self.record_peaks(now, limit);
    }

    fn earn(&mut self, now: TimeMs, limit: PoolLimit) {
        if self.limit != Some(limit) {
            self.adopt(now, limit);
        }
        self.skip_idle_time(now, limit);
        while self.updated < now {
            self.earn_step(now, limit);
        }
    }

    /// Applies a new limit. Until a window has passed, the exposure counts as the largest one of the new limit.
    ///
    /// A pool that is new to this process does not know what the process that held it before has exposed. A lower limit
    /// binds the windows that begin under it, so what the higher one has exposed doesn't count: the pool would refuse
    /// its team half of the lower rate for a window.
    fn adopt(&mut self, now: TimeMs, limit: PoolLimit) {
        let known = self.known_peak(now, limit);
        let is_lower = self.limit.is_some_and(|old| limit.bound() < old.bound());
        let peak = if is_lower {
            limit.max_exposure()
        } else {
            known.max(limit.max_exposure())
        };
        self.earn_fixed(now, limit, peak);
        self.peaks = Some(Peaks {
            earning: RecentPeak::new(now, limit.earning_ms(), peak),
            known: RecentPeak::new(now, limit.earning_ms(), known.max(limit.max_exposure())),
            ttl: RecentPeak::new(now, limit.token_ttl_ms, limit.capacity),
        });
        self.limit = Some(limit);
    }

    /// Returns the highest exposure, that under a higher limit included.
    fn known_peak(&mut self, now: TimeMs, limit: PoolLimit) -> f64 {
        let known = self.peaks.as_mut();
        let known = known.map_or(0.0, |peaks| peaks.known.get(now));
        known.max(self.peak(now, limit))
    }

    /// Earns for the time that no longer counts for the peak, as if the pool had been full all the time.
    fn skip_idle_time(&mut self, now: TimeMs, limit: PoolLimit) {
        let idle_ms = now.since(self.updated).get();
        if idle_ms <= limit.earning_ms() {
            return;
        }
        let until = self.updated + SpanMs::new(idle_ms - limit.earning_ms());
        let peak = self.peak(self.updated, limit);
        self.earn_fixed(until, limit, peak.max(limit.max_exposure()));
        self.record_peaks(until, limit);
    }

    /// Earns until `until` at the rate that follows from one peak.
    fn earn_fixed(&mut self, until: TimeMs, limit: PoolLimit, peak: f64) {
        let elapsed_s = until.since(self.updated).get() as f64 / 1_000.0;
        self.updated = self.updated.max(until);
        let earned = limit.rate_after(peak) * elapsed_s;
        self.earned_beside += earned;
        let before = self.level;
        self.add(earned, limit);
        self.earned += (self.level - before).max(0.0);
    }

    /// Earns for one interval of the peak at most.
    ///
    /// The level rises in the interval, and the rate falls only after it. Since the rate then also counts what the
    /// interval has added, no window that begins in it gets more.
    fn earn_step(&mut self, now: TimeMs, limit: PoolLimit) {
        let peaks = self.peaks.as_ref();
        let width_ms = peaks.map_or(1, |peaks| peaks.earning.width_ms());
        let from = self.updated;
        let until = now.min(from + SpanMs::new(width_ms));
        let elapsed_ms = until.since(from).get();
        let peak = self.peak(from, limit);
        if self.reserved > 0.0 {
            self.reserved_ms += elapsed_ms;
        }
        self.earn_fixed(until, limit, peak.max(MIN_PEAK.min(limit.capacity)));
        self.record_peaks(until, limit);
    }

    fn add(&mut self, tokens: f64, limit: PoolLimit) {
        let room = (limit.capacity - self.reserved).max(0.0);
        self.level = (self.level + tokens).min(room);
    }
}
