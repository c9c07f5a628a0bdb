//! One HTTP call for each call of the trait.

use std::io::{self, Read};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Instant;

use attohttpc::header::HeaderMap;
use attohttpc::{Method, ProxySettings, RequestBuilder, Response};
use damaskvane_core::time;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::api::{
    InstanceRecord, Listing, NotAppliedReason, Object, ObjectApi, ObjectKey, ObjectVersion,
    ReadError, Revision, UnknownReason, WriteId, WriteResult,
};
use crate::budget::RateBudget;
use crate::http::counts::CallCounts;
use crate::http::settings::PlatformSettings;

/// The most of a body that is read; a listing may be larger than a value.
const MAX_BODY_BYTES: u64 = 16_000_000;

/// How long to stay away where the platform refuses by rate and doesn't say.
const DEFAULT_RETRY_AFTER: time::SpanMs = time::SpanMs::new(1_000);

/// The object API over HTTP, one connection a call.
#[derive(Debug)]
pub struct HttpObjectApi {
    settings: PlatformSettings,
    started: Instant,
    budget: Mutex<RateBudget>,
    counts: Mutex<CallCounts>,
}

#[derive(Debug, Deserialize)]
struct Instances {
    instances: Vec<InstanceRecord>,
}

impl HttpObjectApi {
    /// A client that has not called yet.
    #[must_use]
    pub fn new(settings: PlatformSettings) -> Self {
        let budget = RateBudget::new(settings.calls_per_second, time::TimeMs::ZERO);
        Self {
            settings,
            started: Instant::now(),
            budget: Mutex::new(budget),
            counts: Mutex::default(),
        }
    }

    /// The counts so far.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        self.lock_counts().clone()
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        let url = format!("http://{}/v1/{path}", self.settings.address);
        let timeout = self.settings.timeout_ms.to_duration();
        RequestBuilder::new(method, url)
            .proxy_settings(ProxySettings::builder().build())
            .follow_redirects(false)
            .connect_timeout(timeout)
            .read_timeout(timeout)
            .timeout(timeout)
            .bearer_auth(self.settings.token.reveal())
    }

    /// Waits for the budget, at most as long as a call may take.
    fn admit(&self, call: &'static str) -> Result<(), time::SpanMs> {
        let until = self.now() + self.settings.timeout_ms;
        loop {
            let now = self.now();
            let taken = self
                .budget
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .take(now);
            let Err(wait) = taken else {
                *self.lock_counts().by_call.entry(call).or_default() += 1;
                return Ok(());
            };
            if now + wait > until {
                return Err(wait);
            }
            thread::sleep(wait.to_duration());
        }
    }

    fn now(&self) -> time::TimeMs {
        let ms = self.started.elapsed().as_millis();
        time::TimeMs::new(u64::try_from(ms).unwrap_or(u64::MAX))
    }

    fn read(&self, call: &'static str, request: RequestBuilder) -> Result<Answer, ReadError> {
        let result = self.read_uncounted(call, request);
        if let Err(error) = &result {
            self.count_reason(error.reason());
        }
        result
    }

    fn read_uncounted(
        &self,
        call: &'static str,
        request: RequestBuilder,
    ) -> Result<Answer, ReadError> {
        self.admit(call).map_err(ReadError::BudgetSpent)?;
        let response = request
            .send()
            .map_err(|error| ReadError::Unavailable(error.to_string()))?;
        match response.status().as_u16() {
            200 | 404 => {}
            401 | 403 => return Err(ReadError::Unauthorized),
            429 => return Err(ReadError::RateLimited(retry_after(response.headers()))),
            status @ 500.. => return Err(ReadError::Unavailable(format!("status {status}"))),
            status => return Err(ReadError::Protocol(format!("status {status}"))),
        }
        let answer = Answer::read(response)?;
        self.lock_counts().bytes_in += answer.body.len() as u64;
        Ok(answer)
    }

    fn write(
        &self,
        call: &'static str,
        request: RequestBuilder,
        if_version: ObjectVersion,
        value: &[u8],
        write_id: &WriteId,
    ) -> WriteResult {
        let result = match self.admit(call) {
            Err(wait) => WriteResult::NotApplied(NotAppliedReason::BudgetSpent(wait)),
            Ok(()) => {
                self.lock_counts().bytes_out += value.len() as u64;
                let sent = request
                    .header("if-version", if_version.to_string())
                    .header("write-id", write_id.as_str())
                    .bytes(value)
                    .send();
                sent.map_or_else(
                    |error| from_error(&error),
                    |response| from_answer(&response),
                )
            }
        };
        match &result {
            WriteResult::Applied { .. } => {}
            WriteResult::Conflict { .. } => self.count_reason("conflict"),
            WriteResult::NotApplied(reason) => self.count_reason(reason.reason()),
            WriteResult::Unknown(_) => self.count_reason("unknown"),
        }
        result
    }

    fn count_reason(&self, reason: &'static str) {
        *self.lock_counts().by_reason.entry(reason).or_default() += 1;
    }

    fn lock_counts(&self) -> MutexGuard<'_, CallCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ObjectApi for HttpObjectApi {
    fn get(&self, key: &ObjectKey) -> Result<Option<Object>, ReadError> {
        let answer = self.read("get", self.request(Method::GET, &object_path(key)))?;
        if answer.status == 404 {
            return Ok(None);
        }
        let version = version_of(&answer.headers)
            .ok_or_else(|| ReadError::Protocol("no object-version".to_owned()))?;
        Ok(Some(Object {
            version,
            write_id: header(&answer.headers, "write-id").map(WriteId::new),
            author: header(&answer.headers, "object-author").map(str::to_owned),
            value: answer.body,
        }))
    }

    fn put_if(
        &self,
        key: &ObjectKey,
        if_version: ObjectVersion,
        value: &[u8],
        write_id: &WriteId,
    ) -> WriteResult {
        let request = self.request(Method::PUT, &object_path(key));
        self.write("put", request, if_version, value, write_id)
    }

    fn delete_if(
        &self,
        key: &ObjectKey,
        if_version: ObjectVersion,
        write_id: &WriteId,
    ) -> WriteResult {
        let request = self.request(Method::DELETE, &object_path(key));
        self.write("delete", request, if_version, &[], write_id)
    }

    fn list(&self, kind: &str) -> Result<Listing, ReadError> {
        let request = self.request(Method::GET, &format!("objects/{kind}"));
        self.read("list", request)?.json()
    }

    fn watch(&self, kind: &str, after: Revision, wait: time::SpanMs) -> Result<Listing, ReadError> {
        // A watch that went silent would be waited for without end; its own time-out ends it.
        let longest = wait.to_duration() + self.settings.timeout_ms.to_duration();
        let path = format!("objects/{kind}?after={after}&wait_ms={}", wait.get());
        let request = self
            .request(Method::GET, &path)
            .read_timeout(longest)
            .timeout(longest);
        self.read("watch", request)?.json()
    }

    fn instances(&self) -> Result<Vec<InstanceRecord>, ReadError> {
        let request = self.request(Method::GET, "instances");
        let instances: Instances = self.read("instances", request)?.json()?;
        Ok(instances.instances)
    }

    fn token_holder(&self) -> Result<String, ReadError> {
        let request = self.request(Method::GET, "objects/head");
        let answer = self.read("holder", request)?;
        header(&answer.headers, "token-holder")
            .map(str::to_owned)
            .ok_or_else(|| ReadError::Protocol("no token-holder".to_owned()))
    }
}

/// A whole answer.
struct Answer {
    status: u16,
    headers: HeaderMap,
    body: Vec<u8>,
}

impl Answer {
    fn read(response: Response) -> Result<Self, ReadError> {
        let (status, headers, reader) = response.split();
        let mut body = Vec::new();
        let read = reader.take(MAX_BODY_BYTES + 1).read_to_end(&mut body);
        read.map_err(|error| ReadError::Unavailable(error.to_string()))?;
        if body.len() as u64 > MAX_BODY_BYTES {
            let text = format!("over {MAX_BODY_BYTES} bytes");
            return Err(ReadError::Protocol(text));
        }
        // A cut answer must not pass as a whole one: it would be taken for a shorter object.
        let announced = header(&headers, "content-length").and_then(|text| text.parse().ok());
        if announced.is_some_and(|length: usize| length != body.len()) {
            return Err(ReadError::Unavailable("the answer was cut".to_owned()));
        }
        Ok(Self {
            status: status.as_u16(),
            headers,
            body,
        })
    }

    fn json<T: DeserializeOwned>(&self) -> Result<T, ReadError> {
        serde_json::from_slice(&self.body).map_err(|error| ReadError::Protocol(error.to_string()))
    }
}

fn object_path(key: &ObjectKey) -> String {
    format!("objects/{}/{}", key.kind(), key.name())
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn version_of(headers: &HeaderMap) -> Option<ObjectVersion> {
    let version = header(headers, "object-version")?.parse().ok()?;
    Some(ObjectVersion::new(version))
}

fn retry_after(headers: &HeaderMap) -> time::SpanMs {
    header(headers, "retry-after-ms")
        .and_then(|text| text.parse().ok())
        .map_or(DEFAULT_RETRY_AFTER, time::SpanMs::new)
}

/// Only a refused connection proves that nothing was sent; any other failure leaves doubt.
fn from_error(error: &attohttpc::Error) -> WriteResult {
    if let attohttpc::ErrorKind::Io(cause) = error.kind()
        && cause.kind() == io::ErrorKind::ConnectionRefused
    {
        return WriteResult::NotApplied(NotAppliedReason::NoConnection(cause.to_string()));
    }
    WriteResult::Unknown(UnknownReason::NoAnswer(error.to_string()))
}

fn from_answer(response: &Response) -> WriteResult {
    let headers = response.headers();
    match response.status().as_u16() {
        200 => match version_of(headers) {
            Some(version) => WriteResult::Applied { version },
            None => WriteResult::Unknown(UnknownReason::Status(200)),
        },
        409 => WriteResult::Conflict {
            current: version_of(headers).unwrap_or_default(),
        },
        401 | 403 => WriteResult::NotApplied(NotAppliedReason::Unauthorized),
        413 => WriteResult::NotApplied(NotAppliedReason::TooLarge),
        429 => WriteResult::NotApplied(NotAppliedReason::RateLimited(retry_after(headers))),
        503 => WriteResult::NotApplied(NotAppliedReason::Outage),
        status @ 400..=499 => WriteResult::NotApplied(NotAppliedReason::Refused(status)),
        status => WriteResult::Unknown(UnknownReason::Status(status)),
    }
}
