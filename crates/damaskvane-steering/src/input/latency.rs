//! One-way latency between availability zones.
//!
//! ```
//! use damaskvane_steering::input;
//!
//! let latency = input::Latency { between_regions_ms: 55, ..input::Latency::default() };
//! assert_eq!(latency.between_zones_ms, 3);
//! ```

/// One-way latency by distance class, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Latency {
    /// Latency between a client and its own zone.
    pub to_clients_ms: u32,
    /// Latency between two zones of a region.
    pub between_zones_ms: u32,
    /// Latency between two regions.
    pub between_regions_ms: u32,
}

impl Default for Latency {
    fn default() -> Self {
        Self {
            to_clients_ms: 3,
            between_zones_ms: 3,
            between_regions_ms: 12,
        }
    }
}
