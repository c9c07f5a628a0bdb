//! What instances caused that their users pay for, by cause, zone and time.
//!
//! Each instance writes now and then what it has caused since its start. The table holds the differences of
//! consecutive lines only, so that a whole day of hundreds of instances is read line by line.
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
