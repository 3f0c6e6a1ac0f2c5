//! A cluster scheduler for heterogeneous workloads.
//!
//! The crate is structured as ports and adapters:
//!
//! * [`model`] contains the types that all layers share;
//! * [`decide`] makes scheduling and placement decisions, as pure logic without an async runtime
//!   that takes the current time as an argument;
//! * [`shard`] is the state machine of a shard's owner, which turns events into effects;
//! * [`port`] contains the traits through which a VM reaches other systems;
//! * [`adapter`] implements the ports over HTTP and nng;
//! * [`workflow`] schedules workflows, which are jobs of several steps;
//! * [`coordinator`] runs workflows on the users' platform, in one process on each VM;
//! * [`platform`] translates the names, formats and calls of the users' platform;
//! * [`command`] implements the subcommands of the program;
//! * [`entry`] is the listener for the requests and jobs of callers;
//! * [`local`] runs a small cell with sample work in one process;
//! * [`node`] is the node of an entry VM, which connects the decisions to the ports;
//! * [`oracle`] counts violated invariants, based on the journals of the stand-ins;
//! * [`standin`] contains small in-memory stand-ins for the platform, workers and backend servers.

#[macro_use]
mod derive;

pub mod adapter;
pub mod bench;
pub mod command;
pub mod config;
pub mod coordinator;
pub mod decide;
pub mod entry;
pub mod error;
pub mod local;
pub mod log;
pub mod message;
pub mod metrics;
pub mod model;
pub mod node;
pub mod oracle;
pub mod platform;
pub mod port;
pub mod report;
pub mod settings;
pub mod shard;
pub mod standin;
pub mod workflow;
