//! Implementation of the object API over HTTP.
//!
//! ```
//! use damaskvane_objects::http;
//!
//! let settings = http::PlatformSettings::new("127.0.0.1:1", "secret".parse().expect("a token"));
//! assert_eq!(http::HttpObjectApi::new(settings).counts().calls(), 0);
//! ```

mod client;
mod counts;
mod settings;

pub use client::HttpObjectApi;
pub use counts::CallCounts;
pub use settings::PlatformSettings;
