//! The limit on connections from this instance to one backend server.

/// Returns the number of connections that each of `instances` instances may have open to a server whose service
/// accepts `max_connections` from all of them together.
///
/// An instance may always have one, since a server that no instance may connect to would be unused. A service that
/// declares 0 sets no limit.
#[must_use]
pub fn connection_share(max_connections: u32, instances: usize) -> usize {
    if max_connections == 0 {
        return usize::MAX;
    }
    (max_connections as usize / instances.max(1)).max(1)
}
