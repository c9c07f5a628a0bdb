//! What a ticket orders, and what the shift listens to.
//!
//! ```
//! use damaskvane_steering::shift;
//!
//! assert_eq!(shift::Order::default().target_permille, 1_000);
//! ```

use damaskvane_core::time;

/// What a ticket orders of a shift.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Order {
    /// The part of the clients that shall be moved in the end, in thousandths.
    pub target_permille: u32,
    /// The most that may move in any window, forward and back together, in thousandths.
    pub cap_permille: u32,
    /// The window of the cap.
    pub window: time::SpanMs,
    /// The first step, in thousandths.
    pub first_step_permille: u32,
    /// How long caches at the other end take to warm up; the time between two steps.
    pub warm_up: time::SpanMs,
    /// How long it must be calm before a frozen shift goes on.
    pub recovery_time: time::SpanMs,
}

impl Default for Order {
    fn default() -> Self {
        Self {
            target_permille: 1_000,
            cap_permille: 150,
            window: time::SpanMs::new(60_000),
            first_step_permille: 20,
            warm_up: time::SpanMs::new(10_000),
            recovery_time: time::SpanMs::new(30_000),
        }
    }
}

/// What the destination shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// A fresh report without overload or errors.
    Healthy,
    /// No fresh report.
    Unknown,
    /// Overload.
    Overload,
    /// Rising errors.
    Errors,
}

impl Signal {
    /// Whether the shift must not go on.
    #[must_use]
    pub const fn stops(self) -> bool {
        !matches!(self, Self::Healthy)
    }

    /// Whether the shift must be taken back.
    #[must_use]
    pub const fn turns_back(self) -> bool {
        matches!(self, Self::Overload | Self::Errors)
    }
}
