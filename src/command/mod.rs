//! The subcommands of the program.

pub mod bench;
pub mod config;
mod config_versions;
pub mod coordinate;
pub mod local;
mod operators;
pub mod output;
pub mod report;
pub mod serve;
pub mod settings;
pub mod standin;
pub mod status;
