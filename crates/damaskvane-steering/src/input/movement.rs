//! Part of a source zone's clients that a shift ticket moves.
//!
//! A shift ticket is an operator's order to move clients from one zone to another step by step.
//!
//! ```
//! use damaskvane_steering::input;
//!
//! let movement = input::Movement {
//!     service: "rider-desk".parse()?,
//!     source: "sask-a".parse()?,
//!     destination: "mb-a".parse()?,
//!     moved_permille: 150,
//! };
//! assert_eq!(movement.moved_permille, 150);
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

use damaskvane_core::ids;

/// Part of a source zone's clients that a shift ticket moves, at the current progress of the shift.
///
/// The planner assigns this part before all other demand, up to the destination's capacity. Clients
/// in excess of the capacity are steered as if the shift did not move them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Movement {
    /// Service whose traffic moves.
    pub service: ids::ServiceId,
    /// Zone whose clients move.
    pub source: ids::AvailabilityZoneId,
    /// Zone that the clients move to.
    pub destination: ids::AvailabilityZoneId,
    /// Part of the clients, in thousandths: [`Progress::moved_permille`] of the shift.
    ///
    /// [`Progress::moved_permille`]: crate::shift::Progress::moved_permille
    pub moved_permille: u32,
}
