//! A client of the system as docs/API.md asks for one.
//!
//! It looks up entry instances, caches the answer for its time to live and no longer, sends to the
//! preferred one and tries again by the rules: the same key and home on every try of a non-repeatable
//! request, another home only while it is proven that no try ran.
//!
//! ```
//! use damaskvane_bench::client;
//!
//! let settings = client::ClientSettings { deadline_ms: 500, ..client::ClientSettings::default() };
//! assert_eq!(settings.try_limit_ms, 1_000);
//! ```

mod answer;
mod lookup;
mod order;
mod request;
mod settings;

pub use answer::{AnswerFault, Given, Outcome, Try};
pub use lookup::{Entry, LookupAnswer, LookupCache};
pub use order::Order;
pub use request::Client;
pub use settings::ClientSettings;
