//! Settings of a cold start.
//!
//! ```
//! use damaskvane_dispatch::drain;
//!
//! assert_eq!(drain::WarmUpSettings::default().warm_up_ms, 30_000);
//! ```

use serde::{Deserialize, Serialize};

/// How fast the share of a cold backend server grows.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WarmUpSettings {
    /// How long a backend server is cold.
    pub warm_up_ms: u64,
    /// The share that it starts with, in thousandths of its whole one.
    pub first_share_permille: u32,
}

impl Default for WarmUpSettings {
    fn default() -> Self {
        Self {
            warm_up_ms: 30_000,
            first_share_permille: 100,
        }
    }
}
