//! The event loop of an entry instance that runs on a third-party platform.
//!
//! An entry instance is a process that takes clients' requests and sends each to a backend server. One thread serves
//! lookups (clients' requests for the addresses of instances), forwards requests and receives the changes of the
//! platform's store. The crate `damaskvane-routing` makes all routing decisions. An [`adapter::Adapter`] translates the
//! protocols of clients, backend servers and the store, so that no other module depends on the platform's names.
//!
//! # Crate guide
//!
//! - [`adapter`]: the trait that a platform implements, and the types of its methods.
//! - [`settings`]: the settings file.
//! - [`evidence`]: the proof that the configuration is current, which requests with API keys need.
//! - [`quota`]: tokens of teams' quotas, taken from and served to other instances.
//! - [`node`]: state that all tasks share.
//! - [`clients`]: clients' connections, and the processing of their requests.
//! - [`lookups`]: responses to lookups and readiness checks.
//! - [`upstream`]: connections to and exchanges with backend servers.
//! - [`crashes`]: quarantine and trials of requests that crash backend servers.
//! - [`http`]: HTTP/1.1 on connections that this instance opened.
//! - [`store`]: lists, watches and relayed changes of the platform's store.
//! - [`reach`]: whether this instance itself reaches the backend servers.
//! - [`tunnel`]: connections to backend servers through other instances.
//! - `peer_streams`, `framing`: TCP streams between instances: relayed changes of the store, and tunnels.
//! - [`messages`]: messages between instances, and their encoding.
//! - [`peers`]: datagrams between instances: heartbeats, digests and reports.
//! - [`probes`]: health probes of backend servers.
//! - [`send_permit`]: the permission to send a request or probe to a server, by all that the server has said.
//! - [`server_limits`]: limits that backend servers name for their requests.
//! - `server_tokens`: tokens of servers with a limit that this instance holds or asks for.
//! - [`server_statements`]: what backend servers say of themselves in their responses.
//! - [`stop`]: the planned stop.
//! - [`costs`]: counters of transferred bytes and opened connections.
//! - [`metrics`]: metrics, and the response that exports them.
//! - [`team_counts`]: refused requests by team.
//! - [`decision_log`]: rate-limited log lines on requests.
//! - [`process`]: starts, reconfigures and stops an instance.

pub mod adapter;
pub mod clients;
mod clock;
pub mod costs;
pub mod crashes;
pub mod decision_log;
pub mod evidence;
mod framing;
pub mod http;
pub mod lookups;
pub mod messages;
pub mod metrics;
pub mod node;
mod peer_streams;
pub mod peers;
pub mod probes;
pub mod process;
pub mod quota;
pub mod reach;
pub mod send_permit;
pub mod server_limits;
pub mod server_statements;
mod server_tokens;
pub mod settings;
pub mod stop;
pub mod store;
pub mod team_counts;
pub mod tunnel;
pub mod upstream;
