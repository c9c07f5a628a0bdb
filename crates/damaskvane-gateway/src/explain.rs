//! Tells a request's story from the logs of any number of instances.
//!
//! Clocks of two machines are not compared: lines of one log keep their order, and logs are told one after
//! the other, the ones that name the request first. Beside the request's own lines stand the last lines
//! on each server it met and on what the instance believed when it decided.
//!
//! ```
//! use damaskvane_gateway::explain;
//!
//! let line = r#"{"msg":"request not served","request_id":"r1","reason":"overloaded"}"#;
//! let story = explain::Story::of("r1", [("a.log", line)]);
//! assert!(story.to_string().contains("overloaded"));
//! ```

mod beliefs;
mod line;
mod story;

pub use story::Story;
