//! What the parts of one node share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, RwLock};

use rustc_hash::FxHashSet;

use super::clock::Clock;
use super::config::ConfigHolder;
use super::directory::SnapshotDirectory;
use super::owned_shards::OwnedShards;
use super::owner::{OwnerEvent, ShardSummary};
use super::slot_granter::SlotGranter;
use crate::config::CellConfig;
use crate::decide::Policy;
use crate::message::{ShardDigest, VmDigest};
use crate::model::{Time, VmName};
use crate::port::objects::SharedObjects;
use crate::port::peer::SharedPeers;
use crate::port::table::SharedTable;
use crate::port::vms::SharedVmList;
use crate::settings::Settings;
use crate::shard::rows::OwnerRef;

/// Makes the policy of a shard.
pub type PolicyFactory = Arc<dyn Fn() -> Box<dyn Policy> + Send + Sync>;

/// What the parts of one node share.
pub struct NodeContext {
    /// The settings.
    pub settings: Settings,
    /// This process.
    pub me: OwnerRef,
    /// Where this process takes requests of other VMs.
    pub peer_address: SocketAddr,
    /// The clock.
    pub clock: Clock,
    /// The table.
    pub table: SharedTable,
    /// The object store.
    pub objects: SharedObjects,
    /// The list of VMs.
    pub vms: SharedVmList,
    /// The other VMs.
    pub peers: SharedPeers,
    /// Who owns what.
    pub directory: Arc<SnapshotDirectory>,
    /// The shards that this process owns.
    pub owned_shards: Arc<OwnedShards>,
    /// The slots of services that this process owns.
    pub slots: Arc<dyn SlotGranter>,
    /// The configuration in force.
    pub config: Arc<ConfigHolder>,
    /// Makes the policy of a shard.
    pub policy_factory: PolicyFactory,
    table_contact: AtomicU64,
    longest_gap: AtomicU64,
    configured: AtomicU64,
    gone: RwLock<FxHashSet<VmName>>,
    peer_config: RwLock<Option<(VmName, u64)>>,
}

/// The parts from which [`NodeContext`] is made.
pub struct NodeContextParts {
    /// The settings.
    pub settings: Settings,
    /// This process.
    pub me: OwnerRef,
    /// Where this process takes requests of other VMs.
    pub peer_address: SocketAddr,
    /// The clock.
    pub clock: Clock,
    /// The table.
    pub table: SharedTable,
    /// The object store.
    pub objects: SharedObjects,
    /// The list of VMs.
    pub vms: SharedVmList,
    /// The other VMs.
    pub peers: SharedPeers,
    /// Who owns what.
    pub directory: Arc<SnapshotDirectory>,
    /// The slots of services.
    pub slots: Arc<dyn SlotGranter>,
    /// The configuration in force.
    pub config: Arc<ConfigHolder>,
    /// Makes the policy of a shard.
    pub policy_factory: PolicyFactory,
}

impl NodeContext {
    /// Puts the parts together.
    pub fn new(parts: NodeContextParts) -> Self {
        Self {
            settings: parts.settings,
            me: parts.me,
            peer_address: parts.peer_address,
            clock: parts.clock,
            table: parts.table,
            objects: parts.objects,
            vms: parts.vms,
            peers: parts.peers,
            directory: parts.directory,
            owned_shards: Arc::new(OwnedShards::default()),
            slots: parts.slots,
            config: parts.config,
            policy_factory: parts.policy_factory,
            table_contact: AtomicU64::new(0),
            longest_gap: AtomicU64::new(0),
            configured: AtomicU64::new(0),
            gone: RwLock::default(),
            peer_config: RwLock::default(),
        }
    }

    /// A new policy for a shard.
    pub fn new_policy(&self) -> Box<dyn Policy> {
        (self.policy_factory)()
    }

    /// Notes that the table answered at `now`.
    pub fn note_table_contact(&self, now: Time) {
        let before = self.table_contact.fetch_max(now.0, Ordering::Relaxed);
        let gap = now.0.saturating_sub(before);
        self.longest_gap.fetch_max(gap, Ordering::Relaxed);
    }

    /// The longest time for which an owner that is now lost may have gone on without the table:
    /// the longest spell for which this process had no answer from it, and the lease.
    pub fn max_isolation(&self) -> std::time::Duration {
        let gap = std::time::Duration::from_micros(self.longest_gap.load(Ordering::Relaxed));
        let lease = std::time::Duration::from_millis(self.settings.lease_ms);
        let detached = std::time::Duration::from_millis(self.settings.detached_ms);
        (gap + lease).min(detached + lease)
    }

    /// Sets the VMs that the platform's list once showed and shows no more.
    pub fn set_delisted(&self, gone: FxHashSet<VmName>) {
        *self.gone.write().unwrap_or_else(|e| e.into_inner()) = gone;
    }

    /// Whether the platform's list once showed `vm` and shows it no more.
    pub fn is_delisted(&self, vm: &VmName) -> bool {
        let gone = self.gone.read().unwrap_or_else(|e| e.into_inner());
        gone.contains(vm)
    }

    /// What this node tells others about itself.
    pub async fn digest(&self, now: Time) -> VmDigest {
        let contact = Time(self.table_contact.load(Ordering::Relaxed));
        VmDigest {
            vm: self.me.vm.clone(),
            incarnation: self.me.incarnation,
            ready: self.config.is_ready(),
            config_version: self.config.version().number,
            table_contact_ms: u64::try_from(now.since(contact).as_millis()).unwrap_or(u64::MAX),
            shards: self.shard_digests().await,
        }
    }

    async fn shard_digests(&self) -> Vec<ShardDigest> {
        let summaries = self.summaries().await;
        summaries.into_iter().map(|s| s.digest).collect()
    }

    /// Summaries of the shards of workers that this node owns.
    pub async fn summaries(&self) -> Vec<ShardSummary> {
        let mut summaries = Vec::new();
        for (_, owned) in self.owned_shards.all() {
            let (tx, rx) = tokio::sync::oneshot::channel();
            if owned.actor.tell(OwnerEvent::Summarize(tx)).await.is_err() {
                continue;
            }
            if let Ok(summary) = rx.await {
                summaries.push(summary);
            }
        }
        summaries
    }

    /// Notes the configuration version of a peer.
    pub fn note_peer_config(&self, digest: &VmDigest) {
        let mut newest = self.peer_config.write().unwrap_or_else(|e| e.into_inner());
        if newest
            .as_ref()
            .is_none_or(|(_, v)| *v < digest.config_version)
        {
            *newest = Some((digest.vm.clone(), digest.config_version));
        }
    }

    /// Where the peer takes requests that has the newest configuration above `version`.
    pub fn peer_with_config_above(&self, version: u64) -> Option<SocketAddr> {
        let newest = self.peer_config.read().unwrap_or_else(|e| e.into_inner());
        let (vm, _) = newest.as_ref().filter(|(_, newest)| *newest > version)?;
        let others = self.directory.others(self.peer_address);
        others
            .iter()
            .find(|known| known.vm == *vm)
            .map(|known| known.address)
    }

    /// Where other VMs take requests: those last read from the table and those of the settings.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let others = self.directory.others(self.peer_address);
        let read = others.iter().map(|known| known.address);
        let first_peers = self.settings.first_peers.iter().copied();
        let mut known: Vec<SocketAddr> = read.chain(first_peers).collect();
        known.retain(|address| *address != self.peer_address);
        known.sort();
        known.dedup();
        known
    }

    /// The configuration, if it has changed since the last call.
    pub fn take_new_config(&self) -> Option<Arc<CellConfig>> {
        let current = self.config.version();
        let before = self.configured.swap(current.number, Ordering::Relaxed);
        (before != current.number).then(|| current.config.clone())
    }
}
