//! What the subcommands of the program do.

pub mod bench;
pub mod config;
pub mod coordinate;
pub mod local;
mod operators;
pub mod output;
pub mod report;
pub mod serve;
pub mod settings;
pub mod standin;
pub mod status;
mod versions;
