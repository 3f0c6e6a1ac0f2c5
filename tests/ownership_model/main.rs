//! Model checks of two owners of one shard, with a restart of the worker and a lost response.

#[path = "../support/mod.rs"]
#[allow(dead_code)]
mod support;

mod cell;
mod interleavings;
