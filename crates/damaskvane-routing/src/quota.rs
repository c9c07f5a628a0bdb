//! Quotas of teams and limits of backend servers that hold over all entry instances, without agreement between them.
//!
//! A team's quota is divided among pools, one in each availability zone. A pool earns tokens at its share of the rate;
//! a request uses up one token when it is sent. Tokens move: an instance takes them from the pool of its zone, and a
//! pool with more requests than tokens borrows from the pools of other zones. Wherever a message is lost or late, the
//! tokens in it are lost too. So the tokens of all pools together never exceed the quota, whichever instances fail,
//! restart or can't reach each other.
//!
//! The tokens of a server that names a limit are shared among a few holders, which are chosen by the server's name. The
//! first of them leases the shares of the others, so that all callers ask one instance.
//!
//! ```
//! use damaskvane_routing::{quota, teams};
//!
//! let settings = quota::QuotaSettings { over: 0.1, pools: 2, ..quota::QuotaSettings::default() };
//! let limit = settings.pool_limit(teams::Quota { rate_per_s: 10.0, burst: 10.0 });
//! assert!(limit.rate_per_s >= 5.0);
//! ```

mod holders;
mod pool;
mod pool_limit;
mod pool_state;
mod pools;
mod recent_count;
mod recent_peak;
mod server_limit_settings;
mod server_share;
mod server_shares;
mod settings;

pub use holders::{Holder, HolderTable};
pub use pool::TokenPool;
pub use pool_limit::{MOST_URGENT, PoolLimit};
pub use pool_state::PoolState;
pub use pools::{Denial, TokenPools};
pub use server_limit_settings::ServerLimitSettings;
pub use server_share::{LEASE, MAX_REPLY, ServerShare, ShareTerms};
pub use server_shares::ServerShares;
pub use settings::QuotaSettings;
