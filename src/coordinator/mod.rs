//! Runs workflows on the users' platform: identical processes, one on each VM.
//!
//! Any VM answers callers ([`gateway`]). Workflows and workers are partitioned into shards
//! ([`shards`]); the number of workers determines the number of shards. One VM at a time owns a shard:
//! it runs the engine and writes to the store, each time on the condition that it is still the owner.
//! The other VMs forward the requests of callers to the owner, send permit requests on its behalf, and
//! take over from it when it fails. A VM that cannot use the store relays its calls through another
//! VM.

pub mod availability;
mod caller_checks;
pub mod cluster_view;
pub mod current_config;
pub mod direct_store;
mod elector;
mod event;
pub mod exposition;
mod feeder;
mod fenced_writer;
pub mod first_claim;
pub mod gateway;
mod handler;
mod layout;
mod limit_share_feeder;
mod limit_share_log;
pub mod limit_share_record;
pub mod limit_shares;
pub mod message;
mod node;
mod outbox;
mod owner;
mod owner_calls;
mod owner_inbox;
mod owner_limit_shares;
pub mod permit_queue;
mod reader;
pub mod relay;
pub mod settings;
pub mod shards;
pub mod start_retry;
mod store_health;

pub use node::{Coordinator, Ports};
