//! The planned shutdown of an entry instance.
//!
//! The instance is removed from lookup responses (which name the instances for clients to use), keeps serving
//! requests, hands its key table over to a successor and stops. Each phase is a type. The handover begins only
//! after all lookup responses that name the instance have expired, because clients send new requests until
//! then.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_dispatch::shutdown;
//!
//! let settings = shutdown::ShutdownSettings::default();
//! let leaving = shutdown::Serving.leave(time::TimeMs::ZERO, settings);
//! let handing_over = leaving.begin_handover(time::TimeMs::new(4_000), 0).expect("lookup responses have expired");
//! assert!(handing_over.stop(time::TimeMs::new(4_100), 0, true).is_ok());
//! ```

mod phase;
mod progress;
mod settings;

pub use phase::{HandingOver, Leaving, Serving, Stopped};
pub use progress::Progress;
pub use settings::ShutdownSettings;
