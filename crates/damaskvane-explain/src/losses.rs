//! Why requests were late or not served, by route, zone and two seconds.
//!
//! Each request that was late or not served has one cause, so that the causes add up; what no rule explains is
//! counted as unexplained. Lines that an instance left out under load are counted too, and the table says which
//! part of all lines it has seen.
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
pub use event::Rejected;
pub use plot::draw;

pub use crate::plot::PlotError;
pub use table::{Row, Table};
