//! A fleet in virtual time with the real pool and placement: requests queue at servers of a few slots, and instances
//! know the servers from the reports of their responses.
#![allow(dead_code, unreachable_pub, reason = "each test file uses its part")]

mod demand;
mod instance;
mod outcome;
mod server;
mod world;

pub use demand::Objects;
pub use instance::Way;
pub use outcome::Outcome;
pub use world::{Case, Lie, World};
