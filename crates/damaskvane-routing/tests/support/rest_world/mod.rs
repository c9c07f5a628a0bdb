//! Instances, callers and servers that ask for rest, in virtual time.
//!
//! The instances decide with the real pool and placement. Messages take time and can be lost.
#![allow(dead_code, unreachable_pub, reason = "each test uses its part")]

mod instance;
mod outcome;
mod server;
mod world;

pub use instance::Design;
pub use server::Wish;
pub use world::{Event, Settings, World};
