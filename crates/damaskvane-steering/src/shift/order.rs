//! Order of a shift, and the health signals of its destination.
//!
//! ```
//! use damaskvane_steering::shift;
//!
//! assert_eq!(shift::Order::default().target_permille, 1_000);
//! ```

use damaskvane_core::time;

/// Parameters of a shift, as given in its ticket, the operator's order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Order {
    /// Part of the clients that is moved when the shift is complete, in thousandths.
    pub target_permille: u32,
    /// Maximum sum of the moves in any window, forward and back together, in thousandths of the
    /// clients.
    pub cap_permille: u32,
    /// Length of the window within which the cap limits the moves.
    pub window: time::SpanMs,
    /// Size of the first step and minimum size of later steps, in thousandths of the clients.
    pub first_step_permille: u32,
    /// Minimum time between two steps, in which the caches at the destination warm up.
    pub warm_up: time::SpanMs,
    /// How long the destination must be healthy before a frozen shift resumes.
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

/// Health of a shift's destination.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// The destination has a fresh report without overload or errors.
    Healthy,
    /// The destination has no fresh report.
    Unknown,
    /// The destination is overloaded.
    Overload,
    /// The destination's errors rise.
    Errors,
}

impl Signal {
    /// Returns whether the signal stops a shift from moving forward.
    #[must_use]
    pub const fn stops(self) -> bool {
        !matches!(self, Self::Healthy)
    }

    /// Returns whether the signal requires the shift to be reverted.
    #[must_use]
    pub const fn reverts(self) -> bool {
        matches!(self, Self::Overload | Self::Errors)
    }
}
