//! Which availability zones a client is told to use, and how much traffic may move.
//!
//! All code here is pure: digests, declarations and a time go in, decisions come out. It reads no
//! clock and no global random source and does no I/O, so the entry instance, the experiments and
//! the tests drive the same code.
//!
//! # Crate guide
//!
//! - [`input`]: what the operators declared, as this crate needs it.
//! - [`rate`]: rates in thousandths of a request a second, the unit of every flow here.
//! - [`digest`]: what the zones report about themselves.
//! - [`staleness`]: which decision holds at which age of a report.
//! - [`policy`]: latency first or headroom first.
//! - [`planner`]: makes a [`plan`] of weights, from every source zone to every destination zone.
//! - [`picker`]: turns a plan into an ordered list of zones for one client.
//! - [`credit`]: rate that a receiving zone grants to the other zones.
//! - [`shift`]: moves of traffic by ticket, under a cap.
//! - [`health`]: which backend servers of a pool take work.
//! - [`blocks`]: which steering class a client block belongs to.
//!
//! ```
//! use damaskvane_steering::policy;
//!
//! assert_eq!("headroom".parse(), Ok(policy::Policy::Headroom));
//! ```

pub mod blocks;
pub mod credit;
pub mod digest;
pub mod health;
pub mod input;
pub mod picker;
pub mod plan;
pub mod planner;
pub mod policy;
pub mod rate;
pub mod shift;
pub mod staleness;
