//! Tests of shard owners under faults, in virtual time.

#[path = "../support/mod.rs"]
mod support;

mod fuzz;
mod gang;
mod late;
mod matrix;
mod plain;
mod regress;
