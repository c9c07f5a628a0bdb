//! The backend servers that are known, and what each was seen to do.
//!
//! ```
//! use damaskvane_routing::pool;
//!
//! let pool = pool::ServerPool::new(pool::PoolSettings::default());
//! assert_eq!(pool.servers().count(), 0);
//! ```

mod entry;
mod exchange;
mod load;
mod probes;
mod reach;
mod server;
mod server_pool;
mod settings;
mod speed;
mod told;

pub use entry::{ServerEntry, ServerState};
pub use exchange::{ExchangeEnd, ExchangeId, ServerReport};
pub use load::LoadReport;
pub use probes::{DueProbe, ProbeResult};
pub use reach::Reach;
pub use server::Server;
pub use server_pool::{Change, ServerPool};
pub use settings::PoolSettings;
pub use speed::{Baseline, Baselines};
pub use told::{ServerKey, ToldLoad};
