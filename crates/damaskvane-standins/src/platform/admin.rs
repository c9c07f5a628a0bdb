//! HTTP API for the fault switches and the call counters, on a separate address.
//!
//! ```
//! use std::sync::Arc;
//! use std::time::Duration;
//! use damaskvane_standins::platform;
//!
//! let api = platform::Api::new(platform::Tokens::default(), Duration::ZERO);
//! let admin = platform::Admin::new(Arc::new(api));
//! let request = rouille::Request::fake_http("POST", "/faults", vec![], b"{\"down\":true}".to_vec());
//! assert_eq!(admin.handle(&request).status_code, 200);
//! ```

use std::io::Read;
use std::sync::Arc;

use rouille::{Request, Response};
use serde_json::json;

use crate::platform::api::Api;
use crate::platform::faults::Faults;

const MAX_BODY_BYTES: u64 = 64 * 1024;

/// Handles the calls on the admin address.
#[derive(Debug)]
pub struct Admin {
    api: Arc<Api>,
}

impl Admin {
    /// Creates the admin API for an object API.
    #[must_use]
    pub const fn new(api: Arc<Api>) -> Self {
        Self { api }
    }

    /// Handles one call: `GET` or `POST /faults`, `GET /stats`, `POST /stats/reset` or
    /// `POST /instances/forget` with the instance's name as body.
    #[must_use]
    pub fn handle(&self, request: &Request) -> Response {
        match (request.method(), request.url().as_str()) {
            ("GET", "/faults") => Response::json(&self.api.switches().get()),
            ("POST", "/faults") => self.set_faults(request),
            ("GET", "/stats") => Response::json(&self.api.stats()),
            ("POST", "/stats/reset") => {
                self.api.reset_stats();
                Response::json(&self.api.stats())
            }
            ("POST", "/instances/forget") => {
                let name = body(request);
                self.api.remove_instance(name.trim());
                Response::json(&json!({ "forgotten": name.trim() }))
            }
            _ => refuse(
                404,
                "no such path; use /faults, /stats or /instances/forget",
            ),
        }
    }

    fn set_faults(&self, request: &Request) -> Response {
        match serde_json::from_str::<Faults>(&body(request)) {
            Ok(faults) => {
                self.api.switches().set(faults);
                Response::json(&self.api.switches().get())
            }
            Err(error) => refuse(
                400,
                &format!("{error}; send the faults as JSON, {{}} for none"),
            ),
        }
    }
}

fn body(request: &Request) -> String {
    let mut text = String::new();
    if let Some(body) = request.data() {
        // A truncated body or one that is not UTF-8 counts as empty, which is no valid request.
        let read = body.take(MAX_BODY_BYTES).read_to_string(&mut text);
        if read.is_err() {
            text.clear();
        }
    }
    text
}

fn refuse(status: u16, error: &str) -> Response {
    Response::json(&json!({ "error": error })).with_status_code(status)
}
