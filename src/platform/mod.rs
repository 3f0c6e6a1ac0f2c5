//! The users' platform: its names, formats and calls, translated and nothing else.
//!
//! The platform's words differ from the project's: a submission is a workflow, its phases are steps,
//! `hold` is a look, tickets are permits. Each wire name is decoded here, into the types of the ports.

mod advice;
mod desired;
mod executor;
mod http;
mod ingress;
mod records;
mod servers;
mod wire;

pub use advice::AdviceService;
pub use desired::PlatformFeeds;
pub use executor::HttpExecutors;
pub use ingress::{Ingress, serve_readiness};
pub use records::PlatformRecordStore;
