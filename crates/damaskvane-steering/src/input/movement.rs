//! Part of a source zone's clients that a shift ticket moves.
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
/// The planner places this part first, up to the destination's capacity. The excess is steered as
/// if it had not been moved.
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
