//! The event loop of an entry instance that runs on somebody else's platform.
//!
//! One thread serves look-ups, carries requests and follows the platform's store. All decisions are made
//! by `damaskvane-routing`; what is spoken with clients, backend servers and the store is translated by
//! an [`adapter::Adapter`], so that no other module knows the platform's names.
//!
//! # Crate guide
//!
//! - [`adapter`]: the port that a platform's adapter implements, and the typed messages that cross it.
//! - [`settings`]: the settings file.
//! - [`node`]: what all tasks share.
//! - [`clients`]: clients' connections, and the way of a request through the instance.
//! - [`lookups`]: look-ups and readiness.
//! - [`upstream`]: connections to and exchanges with backend servers.
//! - [`crashes`]: requests that crash what runs them.
//! - [`http`]: reading answers from a connection.
//! - [`store`]: what the platform's store says, followed by watches.
//! - [`peers`]: heartbeats between instances.
//! - [`probes`]: health probes of servers in doubt.
//! - [`stop`]: the planned stop.
//! - [`costs`]: what the instance causes that its users pay for, by cause.
//! - [`metrics`]: counters and histograms, and their listener.
//! - [`decision_log`]: bounded log lines of decisions.
//! - [`process`]: puts all of it together.

pub mod adapter;
pub mod clients;
pub mod costs;
pub mod crashes;
pub mod decision_log;
pub mod http;
pub mod lookups;
pub mod metrics;
pub mod node;
pub mod peers;
pub mod probes;
pub mod process;
pub mod settings;
pub mod stop;
pub mod store;
pub mod upstream;
