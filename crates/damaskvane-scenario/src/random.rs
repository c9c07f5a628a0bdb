//! Seeded random traffic and faults.
