//! One request with its look-up and its tries.

use std::net;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use damaskvane_standins::backend;
use http_body_util::Full;

use crate::client::answer::{self, AnswerFault, Given, Outcome, Try};
use crate::client::{ClientSettings, Entry, LookupAnswer, LookupCache, Order};
use crate::http;

/// The longest wait for a look-up at one entry instance.
const LOOKUP_LIMIT: Duration = Duration::from_millis(500);
/// The longest wait before another try.
const RETRY_WAIT_LIMIT_MS: u64 = 500;
/// The wait before another try where the answer names none.
const RETRY_WAIT_MS: u64 = 50;
/// The refusal that allows another home, since the home that gave it takes no new keys.
const INSTANCE_LEAVING: &str = "instance_leaving";

/// A client with its cache of look-ups; its connections may be shared with other clients.
#[derive(Debug)]
pub struct Client {
    settings: ClientSettings,
    cache: LookupCache,
    connections: Arc<http::Connections>,
}

/// One try as it is sent.
#[derive(Debug)]
struct OwnTry<'a> {
    request_id: &'a str,
    /// From 1; a delayed try that arrives after a later one was refused is not run.
    number: u32,
    home: &'a str,
    limit: Duration,
}

/// What the tries of one request have in common.
#[derive(Debug)]
struct Progress<'a> {
    order: &'a Order,
    deadline: Instant,
    tries: Vec<Try>,
    /// The home of the key, once a try may have reached it.
    home: Option<String>,
    refused: Vec<net::SocketAddr>,
    completed: Option<Completed>,
    retry_after_ms: u64,
    final_refusal: bool,
}

#[derive(Debug)]
struct Completed {
    status: u16,
    server: String,
    fault: Option<AnswerFault>,
    body_bytes: usize,
}

impl Client {
    /// A client that uses these connections.
    #[must_use]
    pub fn new(settings: ClientSettings, connections: Arc<http::Connections>) -> Self {
        Self {
            settings,
            cache: LookupCache::default(),
            connections,
        }
    }

    /// Looks up the entry instances of a service, from the cache if it may be used.
    pub async fn look_up(&self, service: &str) -> Option<Arc<LookupAnswer>> {
        let now = Instant::now();
        if let Some(answer) = self.cache.get(service, now) {
            return Some(answer);
        }
        for entry in &self.settings.entries {
            if let Some(answer) = self.ask(*entry, service).await {
                let answer = Arc::new(answer);
                self.cache.put(service, now, Arc::clone(&answer));
                return Some(answer);
            }
        }
        None
    }

    async fn ask(&self, entry: net::SocketAddr, service: &str) -> Option<LookupAnswer> {
        let client = &self.settings.client;
        let request = hyper::Request::get(format!("/v1/lookup?service={service}&client={client}"))
            .header("host", entry.to_string())
            .body(Full::default())
            .ok()?;
        let answer = self
            .connections
            .exchange(entry, request, LOOKUP_LIMIT)
            .await
            .ok()?;
        let answer: LookupAnswer = serde_json::from_slice(answer.body()).ok()?;
        (!answer.entries.is_empty()).then_some(answer)
    }

    /// Sends a request that was due at `due`, tries again by the rules, and says how it ended.
    pub async fn send(&self, order: &Order, due: Instant) -> Given {
        let started_unix_ms = backend::now_unix_ms();
        let mut progress = Progress {
            order,
            deadline: due + Duration::from_millis(self.settings.deadline_ms),
            tries: Vec::new(),
            home: None,
            refused: Vec::new(),
            completed: None,
            retry_after_ms: 0,
            final_refusal: false,
        };
        for number in 0..self.settings.tries {
            self.attempt(&mut progress, number).await;
            if progress.completed.is_some() || progress.final_refusal || !progress.wait().await {
                break;
            }
        }
        progress.conclude(started_unix_ms, due)
    }

    async fn attempt(&self, progress: &mut Progress<'_>, number: u32) {
        let Some(answer) = self.look_up(&progress.order.service).await else {
            progress.note(
                format!("{}-{number}", progress.order.name),
                "",
                Outcome::NotRun,
                "no-lookup",
            );
            return;
        };
        let usable = |entry: &&Entry| !progress.refused.contains(&entry.address);
        let Some(entry) = answer
            .entries
            .iter()
            .find(usable)
            .or(answer.entries.first())
        else {
            return;
        };
        let request_id = format!("{}-{number}", progress.order.name);
        let left = progress.deadline.saturating_duration_since(Instant::now());
        let limit = left.min(Duration::from_millis(self.settings.try_limit_ms));
        let home = progress.home.clone().unwrap_or_else(|| entry.home());
        let own = OwnTry {
            request_id: &request_id,
            number: number + 1,
            home: &home,
            limit,
        };
        let Some(request) = self.request(progress.order, &own, entry) else {
            progress.note(request_id, &entry.instance, Outcome::NotRun, "bad-request");
            return;
        };
        match self
            .connections
            .exchange(entry.address, request, limit)
            .await
        {
            Ok(response) => progress.take(request_id, entry, &response, home),
            Err(http::ExchangeError::NotSent) => {
                progress.refused.push(entry.address);
                progress.note(
                    request_id,
                    &entry.instance,
                    Outcome::NotRun,
                    "connect-refused",
                );
                self.cache.forget(&progress.order.service);
            }
            Err(error) => {
                progress.home = Some(home);
                progress.refused.push(entry.address);
                let reason = match error {
                    http::ExchangeError::TimedOut => "client-timeout",
                    _ => "connection-broken",
                };
                progress.note(request_id, &entry.instance, Outcome::Unknown, reason);
                self.cache.forget(&progress.order.service);
            }
        }
    }

    fn request(&self, order: &Order, own: &OwnTry<'_>, entry: &Entry) -> Option<http::Request> {
        let method = if order.is_repeatable() { "GET" } else { "POST" };
        let mut builder = hyper::Request::builder()
            .method(method)
            .uri(format!("/v1/services/{}{}", order.service, order.path))
            .header("host", entry.address.to_string())
            .header("damaskvane-request-id", own.request_id)
            .header("damaskvane-client", &self.settings.client)
            .header("damaskvane-deadline-ms", own.limit.as_millis().to_string());
        if let Some(key) = &order.key {
            builder = builder
                .header("damaskvane-idempotency-key", key)
                .header("damaskvane-home", own.home)
                .header("damaskvane-try", own.number.to_string());
        }
        if !order.priority.is_empty() {
            builder = builder.header("damaskvane-priority", &order.priority);
        }
        builder
            .body(Full::new(Bytes::from(order.body.clone())))
            .ok()
    }
}

impl Progress<'_> {
    fn note(&mut self, request_id: String, instance: &str, outcome: Outcome, reason: &str) {
        self.tries.push(Try {
            request_id,
            instance: instance.to_owned(),
            outcome,
            reason: reason.to_owned(),
            answered_unix_ms: backend::now_unix_ms(),
        });
    }

    fn take(&mut self, request_id: String, entry: &Entry, response: &http::Response, home: String) {
        let header = |name: &str| {
            let value = response.headers().get(name);
            value
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default()
        };
        let outcome = header("damaskvane-outcome")
            .parse()
            .unwrap_or(Outcome::Unknown);
        let reason = header("damaskvane-reason");
        let echoed = header("damaskvane-request-id") == request_id;
        self.retry_after_ms = header("retry-after-ms").parse().unwrap_or(RETRY_WAIT_MS);
        // Another home is safe only while every try is proven not to have run and the home takes no
        // new keys; otherwise two homes could each run the key.
        let proven = self
            .tries
            .iter()
            .all(|earlier| earlier.outcome == Outcome::NotRun);
        let may_move = outcome == Outcome::NotRun && reason == INSTANCE_LEAVING && proven;
        if may_move {
            self.refused.push(entry.address);
        } else {
            self.home = Some(home);
        }
        let status = response.status().as_u16();
        self.final_refusal = outcome == Outcome::NotRun && matches!(status, 400 | 404 | 413 | 429);
        self.note(request_id, &entry.instance, outcome, reason);
        if outcome == Outcome::Completed {
            self.complete(response, echoed);
        }
    }

    fn complete(&mut self, response: &http::Response, echoed: bool) {
        let status = response.status().as_u16();
        let key = self.order.key.clone().unwrap_or_default();
        let (server, body_fault) = match status {
            200 => answer::check(response.body(), &self.tries, &key),
            _ => (String::new(), None),
        };
        let header_fault = (!echoed).then_some(AnswerFault::CrossedHeader);
        self.completed = Some(Completed {
            status,
            server,
            fault: body_fault.or(header_fault),
            body_bytes: response.body().len(),
        });
    }

    /// Waits until the next try may start; false if there is no time for one.
    async fn wait(&mut self) -> bool {
        let wait_ms = match self.tries.last().map(|last| last.reason.as_str()) {
            Some("connect-refused" | INSTANCE_LEAVING) => 0,
            _ => self
                .retry_after_ms
                .clamp(RETRY_WAIT_MS, RETRY_WAIT_LIMIT_MS),
        };
        let wait = Duration::from_millis(wait_ms);
        if Instant::now() + wait >= self.deadline {
            return false;
        }
        tokio::time::sleep(wait).await;
        true
    }

    fn conclude(self, started_unix_ms: u64, due: Instant) -> Given {
        let last = self.tries.last();
        let all_not_run = self.tries.iter().all(|own| own.outcome == Outcome::NotRun);
        // An entry instance that answers not-run for a key speaks for all its tries.
        let key_not_run = self.order.key.is_some()
            && last.is_some_and(|last| last.outcome == Outcome::NotRun && !is_local(&last.reason));
        let outcome = if self.completed.is_some() {
            Outcome::Completed
        } else if all_not_run || key_not_run {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        };
        let reason = last.map(|last| last.reason.clone()).unwrap_or_default();
        let completed = self.completed.as_ref();
        Given {
            service: self.order.service.clone(),
            name: self.order.name.clone(),
            idempotency_key: self.order.key.clone().unwrap_or_default(),
            outcome,
            reason,
            status: completed.map_or(0, |completed| completed.status),
            server: completed
                .map(|completed| completed.server.clone())
                .unwrap_or_default(),
            fault: completed.and_then(|completed| completed.fault),
            body_bytes: completed.map_or(0, |completed| completed.body_bytes),
            started_unix_ms,
            latency_us: u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX),
            tries: self.tries,
        }
    }
}

/// Whether the client itself gave the reason.
fn is_local(reason: &str) -> bool {
    matches!(reason, "no-lookup" | "connect-refused" | "bad-request")
}
