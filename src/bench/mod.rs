//! Measurements of the decisions: their speed, and what they bring about in virtual time.

pub mod burn;
pub mod count;
pub mod decide;
pub mod gang;
pub mod node;
pub mod path;
pub mod place;
pub mod policy;
mod running;
pub mod simulation;
pub mod spread;
pub mod workload;
