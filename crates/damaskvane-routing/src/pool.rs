//! The known backend servers, with the load, speed, failures and liveness that this instance has observed.
//!
//! An exchange is one request that this instance sends to a server, with the response. A slot of a server is its
//! capacity to run one request at a time. A server is cold for some time after its start and then warm; a cold server
//! gets few requests.
//!
//! ```
//! use damaskvane_routing::pool;
//!
//! let pool = pool::ServerPool::new(pool::PoolSettings::default());
//! assert_eq!(pool.servers().count(), 0);
//! ```

mod availability;
mod entry;
mod exchange;
mod handle;
mod liveness;
mod load;
mod machine_speed;
mod peer_report;
mod peer_statement;
mod probes;
mod region_load;
mod retry_after;
mod ring;
mod server;
mod server_limit;
mod server_pool;
mod server_report;
mod server_rest;
mod server_table;
mod service_servers;
mod settings;
mod speed;
mod statement_source;
mod time_factor;
mod topology;

pub use availability::{Availability, AvailabilityChanges, Unavailable};
pub use entry::{ServerEntry, ServerState};
pub use exchange::{ExchangeEnd, ExchangeId};
pub use handle::ServerHandle;
pub use liveness::Liveness;
pub use load::LoadReport;
pub use peer_report::{PeerHealthReport, PeerLimitReport, PeerServerReport, ServerKey};
pub use peer_statement::PeerStatement;
pub use probes::{DueProbe, ProbeResult};
pub use retry_after::{ParseRetryAfterError, RetryAfter};
pub use ring::{Ring, RingPoint};
pub use server::Server;
pub use server_limit::{LimitChange, LimitStatement, ServerLimit};
pub use server_pool::{Change, ServerPool};
pub use server_report::ServerReport;
pub use server_rest::{RestChange, RestStatement, ServerRest};
pub use server_table::ServerMut;
pub use service_servers::{ServiceServers, ZoneServers};
pub use settings::PoolSettings;
pub use speed::{Baseline, Baselines};
pub use statement_source::StatementSource;
pub use time_factor::{ParseTimeFactorError, TimeFactor};
pub use topology::{RegionIndex, Topology, ZoneIndex};
