//! The whole system under traffic and faults, with one line for each promise.
//!
//! ```
//! use damaskvane_bench::demo;
//!
//! let promise = demo::Promise::new(true, "no key ran twice", "0 of 900 keys".to_owned());
//! assert_eq!(promise.to_string(), "held    no key ran twice: 0 of 900 keys");
//! ```

pub mod command;
mod figures;
mod observer;
mod plan;
mod probe;
mod promise;
mod promises;
mod record;
mod script;

pub use figures::Figures;
pub use observer::{Observer, VersionSample};
pub use plan::Plan;
pub use probe::{ShareProbe, ShareSample};
pub use promise::Promise;
pub use promises::judge;
pub use record::{Record, StopRecord, TicketRecord};
pub use script::perform;
