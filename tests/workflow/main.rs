//! Workflows in virtual time, under faults.

mod lifecycle;
mod takeover;
mod world;
