//! The platform's object API over HTTP: authentication, faults, rate limit and routes.
//!
//! ```
//! use std::time::Duration;
//! use damaskvane_standins::platform;
//!
//! let api = platform::Api::new(platform::Tokens::default(), Duration::ZERO);
//! let request = rouille::Request::fake_http("GET", "/v1/instances", vec![], vec![]);
//! assert_eq!(api.handle(&request).status_code, 401);
//! ```

use std::borrow::Cow;
use std::io::Read;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rouille::{Request, Response};
use serde_json::{Value, json};

use crate::platform::MAX_VALUE_BYTES;
use crate::platform::faults::Switches;
use crate::platform::instances::InstanceList;
use crate::platform::outcome::{Object, WriteOutcome};
use crate::platform::rate::RateLimit;
use crate::platform::stats::Stats;
use crate::platform::store::Store;
use crate::platform::tokens::Tokens;

/// Kinds of objects whose values name an author, which must be the holder of the token.
const ATTRIBUTED_KINDS: [&str; 2] = ["head", "chunk"];

/// The kind of the objects that instances write to announce themselves.
const INSTANCE_KIND: &str = "instance";

/// The maximum time that a watch waits for a change.
const MAX_WATCH: Duration = Duration::from_secs(120);

/// The object API with its store, tokens, fault switches and counters.
#[derive(Debug)]
pub struct Api {
    store: Store,
    tokens: Tokens,
    switches: Switches,
    rate: RateLimit,
    stats: Mutex<Stats>,
    instances: Mutex<InstanceList>,
}

impl Api {
    /// Creates an API with an empty store, which accepts `tokens`.
    ///
    /// An announcement appears in the list of instances after `instances_lag`.
    #[must_use]
    pub fn new(tokens: Tokens, instances_lag: Duration) -> Self {
        Self {
            store: Store::default(),
            tokens,
            switches: Switches::default(),
            rate: RateLimit::default(),
            stats: Mutex::default(),
            instances: Mutex::new(InstanceList::new(instances_lag)),
        }
    }

    /// Returns the switches that set the faults of this API.
    #[must_use]
    pub const fn switches(&self) -> &Switches {
        &self.switches
    }

    /// Returns the counters of calls and bytes since the start or the last reset.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.lock_stats().clone()
    }

    /// Sets all counters to zero.
    pub fn reset_stats(&self) {
        *self.lock_stats() = Stats::default();
    }

    /// Removes an instance from the list, as the platform does after the loss of its machine.
    pub fn remove_instance(&self, instance: &str) {
        self.lock_instances().record(instance, None, Instant::now());
    }

    /// Handles one call; the response names the holder of the token.
    pub fn handle(&self, request: &Request) -> Response {
        let token = request
            .header("authorization")
            .and_then(|value| value.strip_prefix("Bearer "))
            .unwrap_or_default();
        let Some(holder) = self.tokens.holder_of(token) else {
            return self.refuse(
                401,
                "missing or wrong token; give the one from the token file",
            );
        };
        let response = self.admit(request, holder);
        response.with_additional_header("token-holder", holder.to_owned())
    }

    fn admit(&self, request: &Request, holder: &str) -> Response {
        let faults = self.switches.get();
        thread::sleep(Duration::from_millis(faults.slow_ms));
        if faults.down {
            return self.refuse(503, "outage; call again later");
        }
        if let Err(retry_after) = self.rate.take(faults.calls_per_second, Instant::now()) {
            let refusal = self.refuse(429, "too many calls; call again later");
            return refusal
                .with_additional_header("retry-after-ms", retry_after.as_millis().to_string());
        }
        self.route(request, holder)
    }

    fn route(&self, request: &Request, holder: &str) -> Response {
        let url = request.url();
        let path: Vec<&str> = url.trim_matches('/').split('/').collect();
        match (request.method(), path.as_slice()) {
            ("GET", ["v1", "instances"]) => self.list_instances(holder),
            ("GET", ["v1", "objects", kind]) => self.list_or_watch(request, holder, kind),
            ("GET", ["v1", "objects", kind, name]) => self.read(holder, kind, name),
            ("PUT", ["v1", "objects", kind, name]) => self.put(request, holder, kind, name),
            ("DELETE", ["v1", "objects", kind, name]) => self.delete(request, holder, kind, name),
            _ => self.refuse(404, "no such path; docs/API.md lists them"),
        }
    }

    fn list_instances(&self, holder: &str) -> Response {
        self.count("instances", holder);
        let instances = self.lock_instances().visible_at(Instant::now());
        self.json(&json!({ "instances": instances }))
    }

    fn list_or_watch(&self, request: &Request, holder: &str, kind: &str) -> Response {
        let number = |name| request.get_param(name).and_then(|text| text.parse().ok());
        let Some(after) = number("after") else {
            self.count("list", holder);
            return self.list(kind);
        };
        self.count("watch", holder);
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0)).min(MAX_WATCH);
        if self.switches.take(|faults| &mut faults.watch_repeat) {
            return self.list(kind);
        }
        let fired = self.store.wait(kind, after, wait);
        let faults = self.switches.get();
        thread::sleep(Duration::from_millis(faults.watch_silent_ms));
        if fired && self.switches.take(|faults| &mut faults.watch_skip) {
            thread::sleep(wait);
            return self.json(&json!({ "revision": after, "objects": [] }));
        }
        thread::sleep(Duration::from_millis(faults.watch_late_ms));
        self.list(kind)
    }

    fn list(&self, kind: &str) -> Response {
        let (revision, objects) = self.store.list(kind);
        let objects: Vec<Value> = objects
            .iter()
            .map(|(name, object)| {
                json!({ "name": name, "version": object.version, "write_id": object.write_id })
            })
            .collect();
        self.json(&json!({ "revision": revision, "objects": objects }))
    }

    fn read(&self, holder: &str, kind: &str, name: &str) -> Response {
        self.count("get", holder);
        let stale = self.switches.take(|faults| &mut faults.stale_read);
        let Some(object) = self.store.read(kind, name, stale) else {
            return Response::json(&json!({ "error": "no such object" })).with_status_code(404);
        };
        let Object {
            version,
            value,
            write_id,
            author,
        } = object;
        let value = value.unwrap_or_default();
        self.lock_stats().bytes_out += value.len() as u64;
        Response::from_data("application/octet-stream", value.to_vec())
            .with_additional_header("object-version", version.to_string())
            .with_additional_header("write-id", write_id)
            .with_additional_header("object-author", author)
    }

    fn put(&self, request: &Request, holder: &str, kind: &str, name: &str) -> Response {
        self.count("put", holder);
        let mut value = Vec::new();
        let Some(body) = request.data() else {
            return self.refuse(400, "no body; send the value");
        };
        if body
            .take(MAX_VALUE_BYTES + 1)
            .read_to_end(&mut value)
            .is_err()
        {
            return self.refuse(400, "the body broke off; send it whole");
        }
        if value.len() as u64 > MAX_VALUE_BYTES {
            return self.refuse(413, "the value is over one megabyte; split it");
        }
        self.lock_stats().bytes_in += value.len() as u64;
        if ATTRIBUTED_KINDS.contains(&kind) && !author_matches(&value, holder) {
            return self.refuse(
                403,
                "the author is not the holder of the token; give its holder",
            );
        }
        self.write(request, holder, kind, name, Some(&value))
    }

    fn delete(&self, request: &Request, holder: &str, kind: &str, name: &str) -> Response {
        self.count("delete", holder);
        self.write(request, holder, kind, name, None)
    }

    fn write(
        &self,
        request: &Request,
        holder: &str,
        kind: &str,
        name: &str,
        value: Option<&[u8]>,
    ) -> Response {
        let if_version = request
            .header("if-version")
            .and_then(|text| text.parse().ok());
        let (Some(if_version), Some(write_id)) = (if_version, request.header("write-id")) else {
            return self.refuse(400, "no if-version or write-id; give both headers");
        };
        let faults = self.switches.get();
        let is_affected = faults.drop_kind.is_empty() || faults.drop_kind == kind;
        if is_affected && self.switches.take(|faults| &mut faults.drop_before_write) {
            return self.drop_response(faults.drop_hang_ms);
        }
        let outcome = self
            .store
            .write(kind, name, if_version, value, write_id, holder);
        if kind == INSTANCE_KIND && matches!(outcome, WriteOutcome::Applied(_)) {
            let announced = value.and_then(|value| serde_json::from_slice(value).ok());
            self.lock_instances()
                .record(name, announced, Instant::now());
        }
        if is_affected
            && self
                .switches
                .take(|faults| &mut faults.drop_response_after_write)
        {
            return self.drop_response(faults.drop_hang_ms);
        }
        match outcome {
            WriteOutcome::Applied(version) => Response::json(&json!({ "version": version }))
                .with_additional_header("object-version", version.to_string())
                .with_additional_header("object-author", holder.to_owned()),
            WriteOutcome::Conflict(version) => self
                .refuse(409, "the object has another version; read it again")
                .with_additional_header("object-version", version.to_string()),
        }
    }

    fn drop_response(&self, hang_ms: u64) -> Response {
        thread::sleep(Duration::from_millis(hang_ms));
        self.refuse(
            504,
            "the answer was lost; read the object to learn what became of it",
        )
    }

    fn refuse(&self, status: u16, error: &'static str) -> Response {
        self.lock_stats().count_refusal(status);
        Response::json(&json!({ "error": error })).with_status_code(status)
    }

    fn json(&self, value: &Value) -> Response {
        let text = value.to_string();
        self.lock_stats().bytes_out += text.len() as u64;
        Response::from_data(Cow::Borrowed("application/json"), text)
    }

    fn count(&self, call: &'static str, holder: &str) {
        self.lock_stats().count_call(call, holder);
    }

    fn lock_stats(&self) -> MutexGuard<'_, Stats> {
        self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_instances(&self) -> MutexGuard<'_, InstanceList> {
        self.instances
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether a value names the holder as its author, or no author at all.
fn author_matches(value: &[u8], holder: &str) -> bool {
    let Ok(Value::Object(fields)) = serde_json::from_slice(value) else {
        return true;
    };
    fields
        .get("author")
        .is_none_or(|author| author.as_str() == Some(holder))
}
