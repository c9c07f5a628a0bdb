//! The daemon of an entry instance: answers lookups and forwards requests to backend servers.
//!
//! # Crate guide
//!
//! Path of a request: [`client_api`] reads the request, [`inbox`] passes it to the engine on
//! [`engine_thread`], the engine selects a backend server, and [`exchange_pool`] runs the [`exchange`] (one
//! request and its response) with that server.
//!
//! Path of a configuration change: [`store`] reads the change from the platform, the external service that
//! stores the configuration and the list of instances. [`control`] applies the change, and [`translate`]
//! converts the configuration for lookups ([`serving`]) and for the engine.
//!
//! - [`settings`], [`clock`]: settings of the process, and its monotonic clock.
//! - [`health_reports`]: polls backend servers for reports of their own health.
//! - [`load`]: traffic measurements of this instance, from which each zone's load digest is summed.
//! - [`peers`], [`wire`]: connections to other entry instances, and the messages sent over them.
//! - [`http_listener`]: limits on HTTP connections of clients and operators.
//! - [`slot_watch`]: why no slots of a backend server are granted, for the log, counters and status.
//! - [`operator_api`]: state of the instance for operators.
//! - [`process`]: starts the threads and connects them.

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
pub mod slot_watch;
pub mod store;
pub mod translate;
pub mod wire;
