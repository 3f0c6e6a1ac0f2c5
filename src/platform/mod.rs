//! The users' platform: its names, formats and calls, translated and nothing else.
//!
//! The platform's words differ from the project's: a submission is a workflow, its phases are steps,
//! `hold` is a look, tickets are permits. Each wire name is decoded here, into the types of the ports.

mod executor;
mod feeds;
mod http;
mod ingress;
mod listing;
mod permits;
mod records;
mod wire;

pub use executor::HttpExecutors;
pub use feeds::PlatformFeeds;
pub use ingress::{Ingress, serve_readiness};
pub use permits::HttpPermitService;
pub use records::PlatformRecordStore;
