//! Which backend server a request goes to, or why it is refused.
//!
//! Servers run a request several times faster if they have handled its object lately, so placement is by
//! object first: every instance ranks the servers of an object by the same hash and uses the first few.
//! Among these few a request goes where it wins most: the worth of the expected answer, less the slot time that it
//! takes from others. Spreading load further when queues grow would make servers run objects that they don't
//! remember, which takes longer and makes the queues grow more; instead, what exceeds the slots is refused at once.
//!
//! ```
//! use damaskvane_routing::placement;
//!
//! let settings = placement::PlacementSettings::default();
//! assert!(settings.load_limit(0) > settings.load_limit(1));
//! ```

mod appraisal;
mod candidates;
mod choice;
mod moves;
mod placer;
mod popularity;
mod rank;
mod request;
mod round_trips;
mod sample;
mod settings;
mod shares;
mod worth;

pub use choice::{Choice, PassedOver, Pick, Refusal, RefusalReason};
pub use placer::Placer;
pub use popularity::{POPULARITY_STEPS, PopularityDecision, PopularityReport};
pub use rank::object_hash;
pub use request::{AnsweredRequest, PlacementRequest};
pub use round_trips::RoundTrips;
pub use sample::{ObjectSample, RouteKey};
pub use settings::PlacementSettings;
