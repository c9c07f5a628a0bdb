//! Selects the backend server for a request, or refuses the request with a reason.
//!
//! An object is the item that a request concerns, as named by the client. A server runs a request several times faster
//! if it has handled the same object recently. Placement is therefore by object: every instance ranks the servers of an
//! object by the same hash and uses the first few servers of this order. Among these few, a request goes to the server
//! with the highest score, which is the expected value of the response minus the cost of the slot time. A slot is a
//! server's capacity to run one request at a time; slot time is the time for which the request occupies a slot. Growing
//! queues don't spread load over more servers: servers that have not handled the objects recently would take longer,
//! and the queues would grow further. Requests beyond the load limit of their object's servers are refused at once.
//!
//! ```
//! use damaskvane_routing::placement;
//!
//! let settings = placement::PlacementSettings::default();
//! assert!(settings.load_limit(0) > settings.load_limit(1));
//! ```

mod candidates;
mod choice;
mod latency_score;
mod object_moves;
mod placer;
mod popularity;
mod rank;
mod region_shifts;
mod rejection;
mod request;
mod room;
mod round_trips;
mod route_sizes;
mod sample;
mod selection;
mod server_score;
mod settings;
mod shares;
mod warm_shares;

pub use choice::{Choice, Pick, Refusal, RefusalReason, SkipReason};
pub use object_moves::ObjectMove;
pub use placer::Placer;
pub use popularity::{POPULARITY_STEPS, PopularityDecision, PopularityReport};
pub use rank::object_hash;
pub use request::{AnsweredRequest, PlacementRequest};
pub use round_trips::RoundTrips;
pub use sample::{ObjectSample, RouteKey};
pub use settings::PlacementSettings;
