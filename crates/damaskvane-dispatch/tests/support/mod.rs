//! What several test files share.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses a part of it"
)]

pub mod keys;
pub mod small_world;
