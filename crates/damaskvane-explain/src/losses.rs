//! Causes of late and unserved requests, by route, zone and window of two seconds.
//!
//! Each request that was late or not served has exactly one cause, so that the counts of all causes add up to the
//! number of losses. A late request that matches no rule is counted as unexplained. The table also counts the lines
//! that instances omitted under load, and reports the share of all lines that the logs contain.
//!
//! ```
//! use damaskvane_explain::losses;
//!
//! let line = r#"{"msg":"request not served","reason":"overloaded","route":"look"}"#;
//! let table = losses::Table::of([("a.log", line)]);
//! assert_eq!(table.count(losses::Cause::NotServed(losses::NotServedReason::Overloaded)), 1);
//! ```

mod cause;
mod event;
mod history;
mod plot;
mod table;

pub use cause::{Cause, FirstRun, NotServedReason};
pub use event::UnreadableLine;
pub use plot::draw;

pub use crate::plot::PlotError;
pub use table::{Row, Table};
