//! A model of instances that send requests to one server, which names a limit for all of them together.
//!
//! Messages take time and are lost, instances are cut off from each other and start again. The decisions are the
//! product's; the model does what the gateway does around them.
#![allow(dead_code, unreachable_pub, reason = "each test file uses its part")]

mod design;
mod event;
mod instance;
mod outcome;
mod pools;
mod tokens;
mod world;

pub use design::Design;
pub use event::Event;
pub use outcome::Outcome;
pub use world::{Settings, World};
