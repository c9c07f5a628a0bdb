//! Conditions under which fields are left out of messages.

#[allow(
    clippy::trivially_copy_pass_by_ref,
    reason = "the signature that serde calls"
)]
pub(super) const fn is_false(value: &bool) -> bool {
    !*value
}
