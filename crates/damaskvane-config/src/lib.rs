//! Declarations, tickets, manifests and their validation.
