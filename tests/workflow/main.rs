//! Simulations of the workflow engine in virtual time, with faults.

mod gangs;
mod lifecycle;
mod load;
mod takeover;
mod world;
