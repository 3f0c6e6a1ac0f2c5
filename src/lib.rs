//! A cluster scheduler for unlike workloads.
//!
//! The crate is laid out as ports and adapters:
//!
//! * [`model`] holds the values that every layer shares;
//! * [`decide`] holds the decisions: pure, without a runtime, with the present
//!   time as an argument;
//! * [`shard`] is the owner of one shard: events in, effects out;
//! * [`port`] holds the traits through which a node meets the outside;
//! * [`adapter`] implements the ports over HTTP and nng;
//! * [`workflow`] decides what runs where of workflows: jobs of several steps;
//! * [`coordinator`] runs workflows on the users' platform, one process a VM;
//! * [`platform`] translates the platform's names, formats and calls;
//! * [`command`] holds the subcommands of the program;
//! * [`entry`] takes callers' requests and jobs;
//! * [`local`] runs a small cell in one process, with a sample of work;
//! * [`node`] is one entry VM: it ties the decisions to the ports;
//! * [`oracle`] counts broken invariants from the journals of the stand-ins;
//! * [`standin`] holds small in-memory stand-ins for the platform, workers and
//!   backend servers.

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
