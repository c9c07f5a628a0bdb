//! The administration addresses of the stand-ins.
//!
//! ```
//! use damaskvane_bench::cluster;
//!
//! let admin = cluster::PlatformAdmin::new("127.0.0.1:9");
//! assert_eq!(admin.address(), "127.0.0.1:9");
//! ```

use std::collections::BTreeMap;

use damaskvane_standins::{backend, platform};
use serde::de::DeserializeOwned;

use crate::error::BenchError;

/// The switches of the platform's stand-in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformAdmin {
    address: String,
}

impl PlatformAdmin {
    /// The stand-in whose administration address that is.
    #[must_use]
    pub fn new(address: &str) -> Self {
        Self {
            address: address.to_owned(),
        }
    }

    /// The administration address.
    #[must_use]
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: &platform::Faults) -> Result<(), BenchError> {
        post(&self.address, &serde_json::json!(faults))
    }

    /// Its counts: calls by what they do, by holder, refusals and bytes.
    pub fn stats(&self) -> Result<serde_json::Value, BenchError> {
        get(&self.address, "stats")
    }
}

/// The switches and logs of the backend servers' stand-in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendAdmin {
    address: String,
}

impl BackendAdmin {
    /// The stand-in whose administration address that is.
    #[must_use]
    pub fn new(address: &str) -> Self {
        Self {
            address: address.to_owned(),
        }
    }

    /// Replaces the faults of a server, or of all by `*`.
    pub fn set_faults(&self, server: &str, faults: &backend::Faults) -> Result<(), BenchError> {
        let order = serde_json::json!({ "server": server, "faults": faults });
        post(&self.address, &order)
    }

    /// The counters of each server.
    pub fn stats(&self) -> Result<BTreeMap<String, backend::ServerStats>, BenchError> {
        get(&self.address, "stats")
    }

    /// Everything that ran.
    pub fn executions(&self) -> Result<Vec<backend::Execution>, BenchError> {
        let page: backend::ExecutionPage = get(&self.address, "executions")?;
        Ok(page.executions)
    }
}

fn post(address: &str, body: &serde_json::Value) -> Result<(), BenchError> {
    let request = attohttpc::post(format!("http://{address}/faults")).text(body.to_string());
    let response = request
        .header("content-type", "application/json")
        .send()
        .map_err(|cause| BenchError::answer(address, &cause))?;
    if response.is_success() {
        return Ok(());
    }
    let text = response.text().unwrap_or_default();
    Err(BenchError::answer(address, &text))
}

fn get<T: DeserializeOwned>(address: &str, path: &str) -> Result<T, BenchError> {
    let response = attohttpc::get(format!("http://{address}/{path}")).send();
    let text = response.and_then(attohttpc::Response::text);
    let text = text.map_err(|cause| BenchError::answer(address, &cause))?;
    serde_json::from_str(&text).map_err(|cause| BenchError::answer(address, &cause))
}
