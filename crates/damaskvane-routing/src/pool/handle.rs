//! The short name of a server within one pool.

/// Names a server as long as its pool holds it; another server may have the name later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerHandle(u32);

impl ServerHandle {
    pub(super) fn new(place: usize) -> Self {
        Self(u32::try_from(place).unwrap_or(u32::MAX))
    }

    pub(super) const fn place(self) -> usize {
        self.0 as usize
    }
}
