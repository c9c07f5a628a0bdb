//! Planning of how clients' traffic is split between availability zones, and of how fast the split
//! may change.
//!
//! The crate computes decisions from digests (reports of the zones), the operators' declarations
//! and a given time. The crate reads no clock and no global random source and does no I/O, so that
//! entry instances, experiments and tests run the same code.
//!
//! # Crate guide
//!
//! - [`input`]: topology and services, as declared by operators.
//! - [`rate`]: rates in thousandths of a request per second, the unit of every flow in this crate.
//! - [`digest`]: reports of the zones about their own load and capacity.
//! - [`staleness`]: how the planner uses a zone, by the age of the zone's report.
//! - [`policy`]: trade-off between low latency and balanced free capacity.
//! - [`planner`]: computes a [`plan`], the weights from every source zone to every destination zone.
//! - [`picker`]: selects an ordered list of zones for one client from a plan.
//! - [`credit`]: rate of requests that a receiving zone permits each other zone to send to it.
//! - [`shift`]: planned shifts of traffic, ordered by ticket and limited by a cap.
//! - [`health`]: share of new requests that each backend server of a pool receives.
//! - [`blocks`]: lookup table from client blocks (groups of clients) to steering classes.
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
