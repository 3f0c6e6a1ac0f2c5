//! Simulations of the workflow engine in virtual time, with faults.

mod lifecycle;
mod load;
mod takeover;
mod world;
