//! The use of billed resources by instances, by cause, zone and time.
//!
//! Each instance periodically logs its totals since its start. The table stores only the differences between
//! consecutive lines of an instance, so that logs of a day from hundreds of instances can be read line by line.
//!
//! ```
//! use damaskvane_explain::costs;
//!
//! let mut table = costs::Table::default();
//! table.read_line("a.log", 1, r#"{"msg":"start","instance":"a-1","zone":"a"}"#);
//! table.read_line("a.log", 2, r#"{"msg":"costs","instance":"a-1","figures":"openings.probe=3"}"#);
//! assert_eq!(table.total("openings.probe"), 3);
//! ```

mod plot;
mod table;

pub use plot::draw;
pub use table::{Row, Table};
