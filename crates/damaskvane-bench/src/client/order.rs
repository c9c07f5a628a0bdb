//! One request as a client wants it.
//!
//! ```
//! use damaskvane_bench::client;
//!
//! let order = client::Order::read("rider-desk", "r-1", "/work");
//! assert!(order.is_repeatable());
//! ```

/// One request as a client wants it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: String,
    /// The name of the request; tries append their number.
    pub name: String,
    /// The idempotency key; none for a repeatable request.
    pub key: Option<String>,
    /// Path and query at the backend server, with the leading slash.
    pub path: String,
    /// The body.
    pub body: String,
    /// The priority header, or empty.
    pub priority: String,
}

impl Order {
    /// A repeatable request.
    #[must_use]
    pub fn read(service: &str, name: &str, path: &str) -> Self {
        Self {
            service: service.to_owned(),
            name: name.to_owned(),
            key: None,
            path: path.to_owned(),
            body: String::new(),
            priority: String::new(),
        }
    }

    /// A non-repeatable request, whose key is derived from its name.
    #[must_use]
    pub fn write(service: &str, name: &str, path: &str) -> Self {
        Self {
            key: Some(format!("key-{name}")),
            body: format!("{{\"name\":\"{name}\"}}"),
            ..Self::read(service, name, path)
        }
    }

    /// Whether it may run more than once.
    #[must_use]
    pub const fn is_repeatable(&self) -> bool {
        self.key.is_none()
    }
}
