//! Simulations of the workflow engine in virtual time, with faults.

mod lifecycle;
mod load;
mod odd_worker;
mod takeover;
mod world;
