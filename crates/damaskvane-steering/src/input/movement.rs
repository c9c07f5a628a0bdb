//! A part of a source's clients that a ticket moves.
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

/// A part of a source's clients that a ticket moves, as far as its shift has come.
///
/// The planner places this part first, as far as the destination's capacity allows; what does not
/// fit is steered as if it had not been moved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Movement {
    /// The service.
    pub service: ids::ServiceId,
    /// Whose clients move.
    pub source: ids::AvailabilityZoneId,
    /// Where they move to.
    pub destination: ids::AvailabilityZoneId,
    /// The part of the clients, in thousandths: [`Progress::moved_permille`] of the shift.
    ///
    /// [`Progress::moved_permille`]: crate::shift::Progress::moved_permille
    pub moved_permille: u32,
}
