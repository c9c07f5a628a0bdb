//! What the platform's store says, followed by watches.

mod client;
mod follow;
mod health;
mod register;

pub use client::{CallError, StoreClient};
pub use follow::follow;
pub use health::StoreHealth;
pub use register::register;
