//! Live and leaving instances, heartbeats, digests and ownership.
