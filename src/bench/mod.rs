//! Benchmarks: the speed of decisions and their results in virtual time, and measurements of cells
//! in one process.

pub mod burn;
pub mod counts;
pub mod decide;
pub mod gang;
pub mod node;
pub mod path;
pub mod place;
pub mod policy;
pub mod simulation;
mod simulation_state;
pub mod spread;
pub mod workload;
