//! What the logs of instances tell: the story of one request, and what was lost and why.
//!
//! Clocks of two machines differ by little and are never trusted to order events: lines of one log keep their
//! order, and logs are told one after the other. Only the table of losses sorts lines of several logs by their
//! time, for windows of seconds.
//!
//! # Crate guide
//!
//! - [`Explanation`]: what became of one request, with what the instance believed.
//! - [`costs`]: what instances caused that their users pay for.
//! - [`losses`]: why requests were late or not served, by route, zone and time.
//!
//! ```
//! let line = r#"{"msg":"request not served","request_id":"r1","reason":"overloaded"}"#;
//! let story = damaskvane_explain::Explanation::of("r1", [("a.log", line)]);
//! assert!(story.to_string().contains("overloaded"));
//! ```

mod beliefs;
pub mod costs;
mod line;
pub mod losses;
mod plot;
mod story;

pub use story::Explanation;
