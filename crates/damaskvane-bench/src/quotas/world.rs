//! Plays one case.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use damaskvane_routing::teams::Quota;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::quotas::case::{Case, DISTURBED_FROM_MS, DISTURBED_UNTIL_MS, Pattern, WayName, ZONES};
use crate::quotas::counts::Counts;
use crate::quotas::ledger::{Figure, Ledger};
use crate::quotas::pools::Pools;
use crate::quotas::shares::Shares;
use crate::quotas::traffic::{Request, Traffic};
use crate::quotas::way::{Asked, Decided, Way};

/// Time after which a lowered quota binds: the length of a window.
const LOWERED_BINDS_AFTER_MS: u64 = 5_000;
/// Time between two kills of single processes.
const KILL_INTERVAL_MS: u64 = 200;

/// Plays one case and returns its figures.
#[must_use]
pub fn play(case: &Case) -> Figure {
    let way: Box<dyn Way> = match case.way {
        WayName::Shares => Box::new(Shares::new(case)),
        WayName::Pools => Box::new(Pools::new(case)),
        WayName::Counts => Box::new(Counts::new(case)),
    };
    World {
        case,
        way,
        random: Pcg64Mcg::seed_from_u64(case.seed),
        traffic: Traffic::new(case),
        ledger: Ledger::new(case),
        waiting: HashMap::new(),
        last: 0,
        spent: Duration::ZERO,
    }
    .run()
}

struct World<'a> {
    case: &'a Case,
    way: Box<dyn Way>,
    random: Pcg64Mcg,
    traffic: Traffic,
    ledger: Ledger,
    /// Quotas of requests that wait for a decision.
    waiting: HashMap<u64, Quota>,
    last: u64,
    /// Processor time of the way.
    spent: Duration,
}

impl World<'_> {
    fn run(mut self) -> Figure {
        for now_ms in 1..self.case.seconds * 1_000 {
            self.restart(now_ms);
            let started = Instant::now();
            let decided = self.way.advance(&mut self.random, now_ms);
            self.spent += started.elapsed();
            for one in decided {
                let quota = self.waiting.remove(&one.number);
                self.record(now_ms, one, quota);
            }
            for request in self.traffic.next(&mut self.random, now_ms) {
                self.ask(now_ms, request);
            }
        }
        let requests = self.last.max(1) as f64;
        let decision_us = self.spent.as_secs_f64() * 1e6 / requests;
        self.ledger.figure(self.case, self.way.bytes(), decision_us)
    }

    fn ask(&mut self, now_ms: u64, request: Request) {
        self.last += 1;
        let number = self.last;
        let quota = self.traffic.quota(now_ms, request.team);
        self.ledger
            .record_request(now_ms, number, request.team, quota);
        let per_zone = (self.case.instances / ZONES).max(1);
        let rank = self.random.random_range(0..per_zone);
        let asked = Asked {
            number,
            team: request.team,
            zone: request.zone,
            instance: (rank * ZONES + request.zone).min(self.case.instances - 1),
            quota,
        };
        let started = Instant::now();
        let decided = self.way.ask(&mut self.random, now_ms, asked);
        self.spent += started.elapsed();
        match decided {
            Some(decided) => self.record(now_ms, decided, Some(quota)),
            None => {
                self.waiting.insert(number, quota);
            }
        }
    }

    fn record(&mut self, now_ms: u64, decided: Decided, quota: Option<Quota>) {
        if let Some(quota) = quota {
            let Decided {
                number,
                team,
                is_admitted,
            } = decided;
            // A lowered quota binds one window after it is known.
            let before = self
                .traffic
                .quota(now_ms.saturating_sub(LOWERED_BINDS_AFTER_MS), team);
            let quota = if before.rate_per_s > quota.rate_per_s {
                before
            } else {
                quota
            };
            self.ledger
                .record_decision(now_ms, number, team, quota, is_admitted);
        }
    }

    fn restart(&mut self, now_ms: u64) {
        match self.case.pattern {
            Pattern::KillAll if now_ms == DISTURBED_FROM_MS => {
                for instance in 0..self.case.instances {
                    self.way.restart(now_ms, instance);
                }
            }
            Pattern::Kills
                if (DISTURBED_FROM_MS..DISTURBED_UNTIL_MS).contains(&now_ms)
                    && now_ms.is_multiple_of(KILL_INTERVAL_MS) =>
            {
                let instance = self.random.random_range(0..self.case.instances);
                self.way.restart(now_ms, instance);
            }
            _ => {}
        }
    }
}
