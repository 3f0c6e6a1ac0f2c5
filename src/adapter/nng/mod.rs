//! Messages between the system's own processes, over nng request/reply sockets.
//!
//! Each message is one postcard-encoded [`Envelope`](crate::message::Envelope). A receiver checks
//! the version and the shared secret before it reads the body, and acts on nothing else.

mod client;
mod codec;
mod context;
mod server;

pub use client::NngPeerClient;
pub use codec::MAX_MESSAGE_BYTES;
pub use server::{MAX_CONCURRENT_REQUESTS, NngServer};

use std::net::SocketAddr;

/// The nng URL of `address`.
fn url(address: SocketAddr) -> String {
    format!("tcp://{address}")
}
