//! The planned stop of an entry instance: out of look-ups, serve on, hand over, stop.
//!
//! Each phase is a type. A leaving instance stays until the look-up answers that name it have lapsed,
//! and hands its key table over only after that: earlier, clients would still bring new work.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_dispatch::shutdown;
//!
//! let settings = shutdown::ShutdownSettings::default();
//! let leaving = shutdown::Serving.leave(time::TimeMs::ZERO, settings);
//! let handing_over = leaving.begin_handover(time::TimeMs::new(4_000), 0).expect("look-ups have lapsed");
//! assert!(handing_over.stop(time::TimeMs::new(4_100), 0, true).is_ok());
//! ```

mod phase;
mod progress;
mod settings;

pub use phase::{HandingOver, Leaving, Serving, Stopped};
pub use progress::Progress;
pub use settings::ShutdownSettings;
