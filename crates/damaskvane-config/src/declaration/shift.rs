//! Planned moves of traffic.
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
    /// The zone that gives traffic away.
    pub from: ids::AvailabilityZoneId,
    /// The zone that takes it.
    pub to: ids::AvailabilityZoneId,
    /// The share of the zone's traffic that moves in the end.
    pub permille: units::Permille,
    /// The most that may move within any one window.
    pub cap_permille_per_window: units::Permille,
    /// The length of a window.
    pub window_ms: time::SpanMs,
    /// The time over which the share moves in even steps; 0 moves it at once.
    #[serde(default)]
    pub ramp_ms: time::SpanMs,
}

impl Shift {
    /// The keys of the TOML form.
    pub const KEYS: &'static [&'static str] = &[
        "service",
        "from",
        "to",
        "permille",
        "cap_permille_per_window",
        "window_ms",
        "ramp_ms",
    ];

    /// The keys without a default.
    pub const REQUIRED_KEYS: &'static [&'static str] = &[
        "service",
        "from",
        "to",
        "permille",
        "cap_permille_per_window",
        "window_ms",
    ];

    /// The largest share that the ramp moves within one window, rounded up.
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
