//! Who may use which slots of a backend server: owners, leases on slots and their expiry.
