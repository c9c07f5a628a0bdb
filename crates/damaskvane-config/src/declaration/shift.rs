//! The declaration of a planned move of traffic.
//!
//! ```
//! use damaskvane_config::declaration;
//!
//! assert!(declaration::Shift::KEYS.contains(&"cap_permille_per_window"));
//! ```

use damaskvane_core::{ids, time, units};
use serde::{Deserialize, Serialize};

/// A planned move of a service's traffic from one availability zone to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shift {
    /// The service whose traffic moves.
    pub service: ids::ServiceId,
    /// The zone from which traffic moves.
    pub from: ids::AvailabilityZoneId,
    /// The zone to which traffic moves.
    pub to: ids::AvailabilityZoneId,
    /// The share of the source zone's traffic that has moved when the shift is complete.
    pub permille: units::Permille,
    /// The maximum share that may move within one window.
    pub cap_permille_per_window: units::Permille,
    /// The length of a window in milliseconds.
    pub window_ms: time::SpanMs,
    /// The time in milliseconds over which the share moves in even steps; 0 moves all at once.
    #[serde(default)]
    pub ramp_ms: time::SpanMs,
}

impl Shift {
    /// The keys that are valid in TOML.
    pub const KEYS: &'static [&'static str] = &[
        "service",
        "from",
        "to",
        "permille",
        "cap_permille_per_window",
        "window_ms",
        "ramp_ms",
    ];

    /// The keys that are required in TOML, since they have no default.
    pub const REQUIRED_KEYS: &'static [&'static str] = &[
        "service",
        "from",
        "to",
        "permille",
        "cap_permille_per_window",
        "window_ms",
    ];

    /// Returns the largest share that the ramp moves within one window, rounded up.
    #[must_use]
    pub fn permille_per_window(&self) -> units::Permille {
        let ramp_ms = self.ramp_ms.get();
        if ramp_ms <= self.window_ms.get() {
            return self.permille;
        }
        let moved = u64::from(self.permille.get()) * self.window_ms.get();
        let share = moved.div_ceil(ramp_ms);
        units::Permille::new(u32::try_from(share).unwrap_or(u32::MAX))
    }
}
