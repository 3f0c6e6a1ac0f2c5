//! The state and ports that the components of a node share.

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
use crate::port::object_store::SharedObjectStore;
use crate::port::peer::SharedPeerClient;
use crate::port::table::SharedTable;
use crate::port::vm_list::SharedVmList;
use crate::settings::Settings;
use crate::shard::rows::OwnerRef;

/// Creates the scheduling policy of a shard.
pub type PolicyFactory = Arc<dyn Fn() -> Box<dyn Policy> + Send + Sync>;

/// The state and ports that the components of a node share.
pub struct NodeContext {
    /// The settings.
    pub settings: Settings,
    /// This process.
    pub me: OwnerRef,
    /// The address of this process for requests of other VMs.
    pub peer_address: SocketAddr,
    /// The clock.
    pub clock: Clock,
    /// The table.
    pub table: SharedTable,
    /// The object store.
    pub objects: SharedObjectStore,
    /// The platform's list of VMs.
    pub vms: SharedVmList,
    /// Calls other VMs.
    pub peers: SharedPeerClient,
    /// The shard owners and live VMs.
    pub directory: Arc<SnapshotDirectory>,
    /// The shards that this process owns.
    pub owned_shards: Arc<OwnedShards>,
    /// Grants the slots of the services that this process owns.
    pub slots: Arc<dyn SlotGranter>,
    /// The configuration in force.
    pub config: Arc<ConfigHolder>,
    /// Creates the scheduling policy of a shard.
    pub policy_factory: PolicyFactory,
    last_table_contact: AtomicU64,
    max_contact_gap: AtomicU64,
    applied_config: AtomicU64,
    delisted: RwLock<FxHashSet<VmName>>,
    newest_peer_config: RwLock<Option<(VmName, u64)>>,
}

/// The parts from which a [`NodeContext`] is built.
pub struct NodeContextParts {
    /// The settings.
    pub settings: Settings,
    /// This process.
    pub me: OwnerRef,
    /// The address of this process for requests of other VMs.
    pub peer_address: SocketAddr,
    /// The clock.
    pub clock: Clock,
    /// The table.
    pub table: SharedTable,
    /// The object store.
    pub objects: SharedObjectStore,
    /// The platform's list of VMs.
    pub vms: SharedVmList,
    /// Calls other VMs.
    pub peers: SharedPeerClient,
    /// The shard owners and live VMs.
    pub directory: Arc<SnapshotDirectory>,
    /// Grants the slots of the services that this process owns.
    pub slots: Arc<dyn SlotGranter>,
    /// The configuration in force.
    pub config: Arc<ConfigHolder>,
    /// Creates the scheduling policy of a shard.
    pub policy_factory: PolicyFactory,
}

impl NodeContext {
    /// Builds the context from its parts.
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
            last_table_contact: AtomicU64::new(0),
            max_contact_gap: AtomicU64::new(0),
            applied_config: AtomicU64::new(0),
            delisted: RwLock::default(),
            newest_peer_config: RwLock::default(),
        }
    }

    /// Creates a scheduling policy for a shard.
    pub fn new_policy(&self) -> Box<dyn Policy> {
        (self.policy_factory)()
    }

    /// Records that the table responded at `now`.
    pub fn note_table_contact(&self, now: Time) {
        let before = self.last_table_contact.fetch_max(now.0, Ordering::Relaxed);
        let gap = now.0.saturating_sub(before);
        self.max_contact_gap.fetch_max(gap, Ordering::Relaxed);
    }

    /// The longest time for which a lost owner may have continued while isolated from the table:
    /// the longest time for which this process had no response from the table, plus the lease. No
    /// owner continues for longer than the detached limit plus the lease.
    pub fn max_isolation(&self) -> std::time::Duration {
        let gap = std::time::Duration::from_micros(self.max_contact_gap.load(Ordering::Relaxed));
        let lease = std::time::Duration::from_millis(self.settings.lease_ms);
        let detached = std::time::Duration::from_millis(self.settings.detached_ms);
        (gap + lease).min(detached + lease)
    }

    /// Sets the VMs that were on the platform's list of VMs and no longer are.
    pub fn set_delisted(&self, delisted: FxHashSet<VmName>) {
        *self.delisted.write().unwrap_or_else(|e| e.into_inner()) = delisted;
    }

    /// Whether `vm` was on the platform's list of VMs and no longer is.
    pub fn is_delisted(&self, vm: &VmName) -> bool {
        let delisted = self.delisted.read().unwrap_or_else(|e| e.into_inner());
        delisted.contains(vm)
    }

    /// The state of this node, as exchanged with other VMs.
    pub async fn digest(&self, now: Time) -> VmDigest {
        let contact = Time(self.last_table_contact.load(Ordering::Relaxed));
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

    /// Records the configuration version of a peer.
    pub fn note_peer_config(&self, digest: &VmDigest) {
        let mut newest = self
            .newest_peer_config
            .write()
            .unwrap_or_else(|e| e.into_inner());
        if newest
            .as_ref()
            .is_none_or(|(_, v)| *v < digest.config_version)
        {
            *newest = Some((digest.vm.clone(), digest.config_version));
        }
    }

    /// The address of the live peer with the newest known configuration, if that is above
    /// `version`.
    pub fn peer_with_config_above(&self, version: u64) -> Option<SocketAddr> {
        let newest = self
            .newest_peer_config
            .read()
            .unwrap_or_else(|e| e.into_inner());
        let (vm, _) = newest.as_ref().filter(|(_, newest)| *newest > version)?;
        let others = self.directory.others(self.peer_address);
        others
            .iter()
            .find(|info| info.vm == *vm)
            .map(|info| info.address)
    }

    /// The addresses of other VMs: those last read from the table, and the `first_peers` of the
    /// settings.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let others = self.directory.others(self.peer_address);
        let read = others.iter().map(|info| info.address);
        let first_peers = self.settings.first_peers.iter().copied();
        let mut addresses: Vec<SocketAddr> = read.chain(first_peers).collect();
        addresses.retain(|address| *address != self.peer_address);
        addresses.sort();
        addresses.dedup();
        addresses
    }

    /// The configuration in force, if it has changed since the last call.
    pub fn take_new_config(&self) -> Option<Arc<CellConfig>> {
        let current = self.config.version();
        let before = self.applied_config.swap(current.number, Ordering::Relaxed);
        (before != current.number).then(|| current.config.clone())
    }
}
