//! The entry instance: answers look-ups and carries requests to backend servers.
//!
//! # Crate guide
//!
//! The way of a request: [`client_api`] reads it, [`inbox`] takes it to [`engine_thread`], whose engine
//! decides; [`exchange_pool`] runs the [`exchange`] with the backend server.
//!
//! The way of a configuration change: [`store`] reads it from the platform, [`control`] adopts it,
//! [`translate`] turns it into what look-ups ([`serving`]) and the engine need.
//!
//! - [`settings`], [`clock`]: what the process is told, and its time.
//! - [`health_reports`]: what backend servers say of themselves.
//! - [`load`]: what the instance measures of its traffic, for digests.
//! - [`peers`], [`wire`]: other entry instances and what is said to them.
//! - [`http_listener`]: bounds on whoever connects.
//! - [`operator_api`]: the state of the instance for operators.
//! - [`process`]: puts all of it together.

pub mod client_api;
pub mod clock;
pub mod control;
pub mod engine_thread;
pub mod exchange;
pub mod exchange_pool;
pub mod health_reports;
pub mod http_listener;
pub mod inbox;
pub mod load;
pub mod operator_api;
pub mod peers;
pub mod process;
pub mod serving;
pub mod settings;
pub mod store;
pub mod translate;
pub mod wire;
