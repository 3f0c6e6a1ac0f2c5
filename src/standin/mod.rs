//! In-memory stand-ins for the platform, workers and backend servers.
//!
//! Each stand-in keeps its own journal or counters and has switches that inject faults, which are
//! set over HTTP.

pub mod backend;
pub mod clock;
pub mod journal;
pub mod platform;
pub mod worker;

mod response;
