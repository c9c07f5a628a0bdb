//! A server that rejects some requests and asks for rest.

use damaskvane_core::time::{SpanMs, TimeMs};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Which requests a server rejects, and the rest that it asks for.
#[derive(Debug, Clone, Copy)]
pub struct Wish {
    /// Share of the requests that are rejected.
    pub rejected: f64,
    /// Rest that a rejection asks for.
    pub rest: SpanMs,
}

/// Time of work on a request, in milliseconds.
pub const WORK_MS: u64 = 20;
/// Requests that a server runs at the same time.
pub const SLOTS: usize = 4;
/// Requests that wait at most.
const QUEUE: usize = 12;

/// What a server makes of a request.
#[derive(Debug, Clone, Copy)]
pub enum Reply {
    /// It runs the request, until then.
    Runs(TimeMs),
    /// It rejects the request and asks for rest.
    Rejects(SpanMs),
    /// Its queue is full.
    Full,
}

/// One server, with what reached it.
#[derive(Debug, Default)]
pub struct Server {
    pub wish: Option<Wish>,
    /// When the requests end that it runs or that wait.
    ends: Vec<TimeMs>,
    /// When a request arrived, and from which instance and incarnation.
    pub arrivals: Vec<(TimeMs, usize, u32)>,
    /// When a rejection was made, to which instance and incarnation, and the rest.
    pub rejections: Vec<(TimeMs, usize, u32, SpanMs)>,
    pub is_leaving: bool,
}

impl Server {
    pub fn load(&mut self, now: TimeMs) -> usize {
        self.ends.retain(|end| *end > now);
        self.ends.len()
    }

    pub fn receive(&mut self, now: TimeMs, from: (usize, u32), random: &mut Pcg64Mcg) -> Reply {
        self.arrivals.push((now, from.0, from.1));
        if let Some(wish) = self.wish
            && random.random_bool(wish.rejected)
        {
            self.rejections.push((now, from.0, from.1, wish.rest));
            return Reply::Rejects(wish.rest);
        }
        let load = self.load(now);
        if load >= SLOTS + QUEUE {
            return Reply::Full;
        }
        let mut ends = self.ends.clone();
        ends.sort();
        let begins_at = if load < SLOTS {
            now
        } else {
            ends[load - SLOTS]
        };
        let end = begins_at + SpanMs::new(WORK_MS);
        self.ends.push(end);
        Reply::Runs(end)
    }
}
