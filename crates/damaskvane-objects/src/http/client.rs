//! The client, which sends one HTTP request for each call of the trait.

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

/// The maximum size of a response body; a listing may be larger than a value.
const MAX_BODY_BYTES: u64 = 16_000_000;

/// The pause to report if the platform limits the call rate without a `retry-after-ms` header.
const DEFAULT_RETRY_AFTER: time::SpanMs = time::SpanMs::new(1_000);

/// The object API over HTTP, with a new connection for each call.
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
    /// Creates a client with a full rate budget; no call is sent.
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

    /// Returns a copy of the counters.
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

    /// Waits for the rate budget, at most for the timeout of a call, and counts the call.
    fn wait_for_budget(&self, call: &'static str) -> Result<(), time::SpanMs> {
        let deadline = self.now() + self.settings.timeout_ms;
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
            if now + wait > deadline {
                return Err(wait);
            }
            thread::sleep(wait.to_duration());
        }
    }

    fn now(&self) -> time::TimeMs {
        let ms = self.started.elapsed().as_millis();
        time::TimeMs::new(u64::try_from(ms).unwrap_or(u64::MAX))
    }

    fn read(
        &self,
        call: &'static str,
        request: RequestBuilder,
    ) -> Result<BufferedResponse, ReadError> {
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
    ) -> Result<BufferedResponse, ReadError> {
        self.wait_for_budget(call)
            .map_err(ReadError::BudgetExhausted)?;
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
        let response = BufferedResponse::read(response)?;
        self.lock_counts().bytes_in += response.body.len() as u64;
        Ok(response)
    }

    fn write(
        &self,
        call: &'static str,
        request: RequestBuilder,
        if_version: ObjectVersion,
        value: &[u8],
        write_id: &WriteId,
    ) -> WriteResult {
        let result = match self.wait_for_budget(call) {
            Err(wait) => WriteResult::NotApplied(NotAppliedReason::BudgetExhausted(wait)),
            Ok(()) => {
                self.lock_counts().bytes_out += value.len() as u64;
                let sent = request
                    .header("if-version", if_version.to_string())
                    .header("write-id", write_id.as_str())
                    .bytes(value)
                    .send();
                sent.map_or_else(
                    |error| write_result_from_error(&error),
                    |response| write_result_from_response(&response),
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
        let response = self.read("get", self.request(Method::GET, &object_path(key)))?;
        if response.status == 404 {
            return Ok(None);
        }
        let version = version_of(&response.headers)
            .ok_or_else(|| ReadError::Protocol("no object-version header".to_owned()))?;
        Ok(Some(Object {
            version,
            write_id: header(&response.headers, "write-id").map(WriteId::new),
            author: header(&response.headers, "object-author").map(str::to_owned),
            value: response.body,
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
        // Without a timeout, a watch whose response never arrives would block the caller for ever.
        let timeout = wait.to_duration() + self.settings.timeout_ms.to_duration();
        let path = format!("objects/{kind}?after={after}&wait_ms={}", wait.get());
        let request = self
            .request(Method::GET, &path)
            .read_timeout(timeout)
            .timeout(timeout);
        self.read("watch", request)?.json()
    }

    fn instances(&self) -> Result<Vec<InstanceRecord>, ReadError> {
        let request = self.request(Method::GET, "instances");
        let instances: Instances = self.read("instances", request)?.json()?;
        Ok(instances.instances)
    }

    fn token_holder(&self) -> Result<String, ReadError> {
        let request = self.request(Method::GET, "objects/head");
        let response = self.read("holder", request)?;
        header(&response.headers, "token-holder")
            .map(str::to_owned)
            .ok_or_else(|| ReadError::Protocol("no token-holder header".to_owned()))
    }
}

/// A response whose body has been read to its end.
struct BufferedResponse {
    status: u16,
    headers: HeaderMap,
    body: Vec<u8>,
}

impl BufferedResponse {
    fn read(response: Response) -> Result<Self, ReadError> {
        let (status, headers, reader) = response.split();
        let mut body = Vec::new();
        let read = reader.take(MAX_BODY_BYTES + 1).read_to_end(&mut body);
        read.map_err(|error| ReadError::Unavailable(error.to_string()))?;
        if body.len() as u64 > MAX_BODY_BYTES {
            let text = format!("a body of over {MAX_BODY_BYTES} bytes");
            return Err(ReadError::Protocol(text));
        }
        // A truncated body is an error: otherwise the caller would take it for a shorter object.
        let expected_length = header(&headers, "content-length").and_then(|text| text.parse().ok());
        if expected_length.is_some_and(|length: usize| length != body.len()) {
            return Err(ReadError::Unavailable(
                "the response body was truncated".to_owned(),
            ));
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

/// Classifies a transport error of a write.
///
/// Only a refused connection proves that nothing was sent. After any other error the effect of the
/// write is unknown.
fn write_result_from_error(error: &attohttpc::Error) -> WriteResult {
    if let attohttpc::ErrorKind::Io(cause) = error.kind()
        && cause.kind() == io::ErrorKind::ConnectionRefused
    {
        return WriteResult::NotApplied(NotAppliedReason::NoConnection(cause.to_string()));
    }
    WriteResult::Unknown(UnknownReason::NoResponse(error.to_string()))
}

fn write_result_from_response(response: &Response) -> WriteResult {
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
