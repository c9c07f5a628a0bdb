//! The handle that identifies a server within one pool.

/// Identifies a server while the server is in its pool. After the server was removed, another server may get its
/// handle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerHandle(u32);

impl ServerHandle {
    pub(super) fn new(index: usize) -> Self {
        Self(u32::try_from(index).unwrap_or(u32::MAX))
    }

    pub(super) const fn index(self) -> usize {
        self.0 as usize
    }
}
