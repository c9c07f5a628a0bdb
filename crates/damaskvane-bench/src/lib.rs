//! Experiments and load: one sub-command each.
//!
//! # Crate guide
//!
//! - [`commands`]: the table of sub-commands; one line registers another.
//! - [`client`]: a client of the system as docs/API.md asks for one.
//! - [`load`]: open-loop load, and what each request was answered.
//! - [`checker`]: what ran, compared with every answer given.
//! - [`cluster`]: the real programs on free loopback ports.
//! - [`demo`]: both deployments under traffic and faults, one line for each promise.
//! - [`in_force`]: how long a ticket takes until it holds everywhere.
//! - [`blocks`]: the client-block table against a binary search and a hash map.
//! - [`steering`]: the decision code against baselines, in virtual time.
//! - [`placement`]: the gateway's choice of servers against baselines under load, in virtual time.
//! - [`keys`]: the time to find the team that holds a key.
//! - [`quotas`]: ways to keep quotas over all instances, in virtual time.
//! - [`decisions`]: the time of one placement decision, by the number of servers.
//! - [`config`]: the same by the number of daemons.
//! - [`config_run`]: the configuration's decision code through mixed faults, by seed.
//! - [`requests`]: the request engine through mixed faults, by seed.
//! - [`speed`]: what an entry instance adds to a request, and its look-ups.
//! - [`capacity`]: the slopes behind docs/CAPACITY.md.
//! - [`histogram`], [`fit`]: quantiles and lines through measured points.
//!
//! ```
//! use damaskvane_bench::commands;
//!
//! assert!(commands::find("load").is_some());
//! ```

pub mod arguments;
pub mod blocks;
pub mod capacity;
pub mod checker;
pub mod client;
pub mod cluster;
pub mod commands;
pub mod config;
pub mod config_run;
pub mod decisions;
pub mod demo;
pub mod error;
pub mod fit;
pub mod histogram;
pub mod http;
pub mod in_force;
pub mod keys;
pub mod load;
pub mod placement;
pub mod quotas;
pub mod requests;
pub mod slots;
pub mod speed;
pub mod steering;
