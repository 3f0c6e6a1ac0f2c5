//! Simulations of the workflow engine in virtual time, with faults.

mod capacity;
mod crash_world;
mod crashes;
mod lifecycle;
mod load;
mod takeover;
mod world;
