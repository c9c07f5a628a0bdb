//! When the store accepted a head, seen by a watch of its own.
//!
//! A submitting command ends some time after its ticket is accepted. Counting from its end would make
//! every configuration look faster in force than it is.
//!
//! ```
//! use damaskvane_bench::cluster;
//!
//! let watch = cluster::HeadWatch::new("127.0.0.1:9", "token");
//! assert!(watch.revision().is_err());
//! ```

use std::time::{Duration, Instant};

use serde::Deserialize;

use crate::error::BenchError;

/// How long one watch waits, in milliseconds.
const WAIT_MS: u64 = 5_000;

/// A head that the store accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Acceptance {
    /// When the watch saw it.
    pub at: Instant,
    /// The revision of the kind `head`.
    pub revision: u64,
}

/// Watches the head with the operator's token.
#[derive(Debug, Clone)]
pub struct HeadWatch {
    platform: String,
    token: String,
}

#[derive(Debug, Deserialize)]
struct Listing {
    revision: u64,
}

impl HeadWatch {
    /// A watch on that platform.
    #[must_use]
    pub fn new(platform: &str, token: &str) -> Self {
        Self {
            platform: platform.to_owned(),
            token: token.to_owned(),
        }
    }

    /// The present revision of the kind `head`.
    pub fn revision(&self) -> Result<u64, BenchError> {
        self.list("").map(|listing| listing.revision)
    }

    /// Waits for a head after `revision`.
    pub fn next(&self, revision: u64, limit: Duration) -> Result<Acceptance, BenchError> {
        let start = Instant::now();
        while start.elapsed() < limit {
            let listing = self.list(&format!("?after={revision}&wait_ms={WAIT_MS}"))?;
            if listing.revision > revision {
                return Ok(Acceptance {
                    at: Instant::now(),
                    revision: listing.revision,
                });
            }
        }
        Err(BenchError::NotReady {
            what: "a new head".to_owned(),
            limit_ms: u64::try_from(limit.as_millis()).unwrap_or(u64::MAX),
        })
    }

    fn list(&self, query: &str) -> Result<Listing, BenchError> {
        let failed = |cause: attohttpc::Error| BenchError::answer(&self.platform, &cause);
        let url = format!("http://{}/v1/objects/head{query}", self.platform);
        let response = attohttpc::get(url)
            .bearer_auth(&self.token)
            .read_timeout(Duration::from_millis(2 * WAIT_MS))
            .send()
            .map_err(failed)?;
        let text = response.text().map_err(failed)?;
        serde_json::from_str(&text).map_err(|cause| BenchError::answer(&self.platform, &cause))
    }
}
