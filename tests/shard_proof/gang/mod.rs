//! Cross-shard gangs under faults, in virtual time.

mod fuzz;
mod matrix;
mod net;
mod oracle;
mod plain;
mod regress;
mod simulation;
