//! Explains from the logs of instances what became of a request, and why requests were late or not served.
//!
//! The clocks of two machines differ slightly, so events of several logs are not ordered by their timestamps: lines of
//! one log keep their order, and logs are read one after the other. Only the table of losses sorts the lines of several
//! logs by timestamp, because its windows last seconds.
//!
//! # Crate guide
//!
//! - [`Explanation`]: the log lines on one request, with the state of the instance that handled the request.
//! - [`costs`]: the use of billed resources by instances: bytes, store calls and connections.
//! - [`losses`]: the causes of late and unserved requests, by route, zone and time.
//!
//! ```
//! let line = r#"{"msg":"request not served","request_id":"r1","reason":"overloaded"}"#;
//! let explanation = damaskvane_explain::Explanation::of("r1", [("a.log", line)]);
//! assert!(explanation.to_string().contains("overloaded"));
//! ```

pub mod costs;
mod explanation;
mod instance_state;
mod line;
pub mod losses;
mod plot;

pub use explanation::Explanation;
