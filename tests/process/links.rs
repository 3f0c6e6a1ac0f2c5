//! The relays on the links between the processes of a cell.

use std::net::SocketAddr;

use super::relay::Relay;

/// The relays of a cell; empty if the cell has none.
#[derive(Default)]
pub struct Links {
    /// From each VM to the platform.
    pub platform: Vec<Relay>,
    /// From the other VMs to each VM.
    pub vms: Vec<Relay>,
    /// From VMs to each worker.
    pub workers: Vec<Relay>,
}

impl Links {
    /// Starts relays to the platform, the workers and `vms` VMs. The VMs have not started yet, so the
    /// target of their relays is set later.
    pub async fn to(platform: SocketAddr, workers: &[SocketAddr], vms: usize) -> Self {
        let mut links = Self::default();
        for _ in 0..vms {
            links.platform.push(Relay::to(platform).await);
            links.vms.push(Relay::to(platform).await);
        }
        for worker in workers {
            links.workers.push(Relay::to(*worker).await);
        }
        links
    }
}
