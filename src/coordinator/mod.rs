//! Runs workflows on the users' platform: identical processes, one on each VM.
//!
//! Callers are answered by any VM ([`gateway`]). Workflows and workers are shared out over shards
//! ([`shards`]), as many as the workers need. One VM at a time owns a shard: it runs the engine and
//! writes to the store, each time on the condition that it still is the owner. The others hand it what
//! callers ask, ask for permits on its behalf, and follow it when it is lost. A VM that the store turns
//! away has its calls made by another.

pub mod cluster_view;
mod elector;
mod event;
pub mod exposition;
mod feeder;
mod fenced_writer;
pub mod gateway;
mod handler;
mod layout;
pub mod message;
mod node;
mod outbox;
mod owner;
mod owner_calls;
pub mod permit_queue;
mod reader;
mod relay;
pub mod settings;
pub mod shards;
mod store_health;

pub use node::{Coordinator, Ports};
