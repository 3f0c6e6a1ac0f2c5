//! The links of a cell.

use std::net::SocketAddr;

use super::relay::Relay;

/// The links of a cell.
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
    /// Links to processes at these addresses; those to VMs lead nowhere yet.
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
