//! Adapters for the users' platform, which translate between its wire formats and the ports' types.
//!
//! The platform's terms differ from this project's: a submission is a workflow, its phases are steps,
//! `hold` is a poll, and tickets are permits. The wire names are used in this module only.

mod accounts;
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
