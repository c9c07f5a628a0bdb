//! Helpers that several test files share.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses only some of the helpers"
)]

pub mod crash_world;
pub mod keys;
pub mod small_world;
