//! Messages between VMs over nng request/reply sockets.
//!
//! Each message is a postcard-encoded [`Envelope`](crate::message::Envelope). The receiver checks
//! the protocol version and the shared secret before it decodes the body, and rejects the message
//! if a check fails.

mod client;
mod codec;
mod context;
mod server;

pub use client::NngPeerClient;
pub use codec::MAX_MESSAGE_BYTES;
pub use server::{MAX_CONCURRENT_REQUESTS, NngServer};

use std::net::SocketAddr;

/// Returns the nng URL of `address`.
fn url(address: SocketAddr) -> String {
    format!("tcp://{address}")
}
