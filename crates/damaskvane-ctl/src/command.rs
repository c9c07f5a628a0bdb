//! The commands; each returns a report that can be printed as text or as JSON.
//!
//! ```
//! use damaskvane_ctl::command;
//!
//! let report = command::CheckReport { objects: 2, against_version: None };
//! assert!(report.to_string().contains("2 objects"));
//! ```

mod check;
mod diff;
mod drain;
mod explain;
mod export;
mod files;
mod history;
mod show;
mod status;
mod submit;

pub use check::{CheckReport, check};
pub use diff::{Change, DiffReport, FieldChange, diff};
pub use drain::set_draining;
pub use explain::{ExplainReport, Involved, explain};
pub use export::{ExportReport, export};
pub use files::read_document;
pub use history::{HistoryReport, TicketSummary, history};
pub use show::{ObjectsReport, ShowReport, show, show_objects};
pub use status::{InstanceStatus, StatusReport, ZoneStatus, status};
pub use submit::{ChangedObject, SubmitReport, SubmitRequest, add_places, submit};
