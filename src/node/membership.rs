//! Heartbeats, leases, and the takeover and release of shards.

use std::sync::Arc;
use std::time::Duration;

use kameo::actor::Spawn;
use rustc_hash::{FxHashMap, FxHashSet};
use tokio::sync::{mpsc, watch};

use super::cell_rows::{CellRows, VersionedShardRow};
use super::cell_rows::{
    decode_rows, decode_shard_rows, deletion_txn, directory_snapshot, unconditional_txn,
    with_end_time,
};
use super::claim::{ClaimedShard, release_service};
use super::config_refresh::{ConfigPollSchedule, refresh_config};
use super::context::NodeContext;
use super::owned_shards::{OwnedService, OwnedShard};
use super::owner::{OwnerEvent, OwnerPorts, OwnershipEnded, ShardOwner};
use super::peer_contact::{PeerContacts, exchange_digests};
use super::takeover::{TakeoverResult, count_takeover, service_of, take_over};
use super::timings::shard_timings;
use crate::config::service_shard;
use crate::decide::assign::{Candidate, ShardOwnership, shard_to_release, shards_to_take};
use crate::decide::lease::{LeaseTracker, OwnLease, VmRow};
use crate::model::{ServiceName, ShardName, Time, VmName};
use crate::port::table::{Row, TableError, Write};
use crate::shard::rows::{decode, encode, vm_key};
use crate::shard::{Shard, StoredRows};

/// The share of the lease for which its holder relies on it, in percent.
const OWN_LEASE_PERCENT: u32 = 66;

/// Heartbeats between two reads of the list of VMs.
const LIST_INTERVAL_HEARTBEATS: u64 = 2;

/// Heartbeats between two reads of the list of VMs while nothing that this VM owns depends on it.
const IDLE_LIST_INTERVAL_HEARTBEATS: u64 = 10;

/// How long the heartbeat row of an expired lease stays in the table.
const ROW_RETENTION: Duration = Duration::from_secs(600);

/// The phase of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopPhase {
    /// No stop was requested.
    Running,
    /// The node releases all that it owns.
    HandingOver,
    /// The node leaves the cell once it owns nothing.
    Leaving,
}

/// Keeps a node a member of the cell, and decides which shards it takes over and releases.
pub struct Membership {
    context: Arc<NodeContext>,
    owner_ports: OwnerPorts,
    ownership_ends: mpsc::UnboundedReceiver<OwnershipEnded>,
    takeover_tx: mpsc::UnboundedSender<TakeoverResult>,
    takeover_rx: mpsc::UnboundedReceiver<TakeoverResult>,
    stop: watch::Receiver<StopPhase>,
    leases: LeaseTracker,
    own_lease: OwnLease,
    sequence: u64,
    shard_rows: FxHashMap<ShardName, VersionedShardRow>,
    takeovers: FxHashSet<ShardName>,
    services: FxHashMap<ServiceName, OwnedService>,
    listed_vms: FxHashSet<String>,
    config_polls: ConfigPollSchedule,
    stopping: bool,
}

impl Membership {
    /// Creates the membership of the node that `context` belongs to; `stop` ends it.
    pub fn new(
        context: Arc<NodeContext>,
        owner_ports: OwnerPorts,
        ownership_ends: mpsc::UnboundedReceiver<OwnershipEnded>,
        stop: watch::Receiver<StopPhase>,
    ) -> Self {
        let lease = Duration::from_millis(context.settings.lease_ms);
        let config_polls = ConfigPollSchedule::new(context.me.incarnation);
        let (takeover_tx, takeover_rx) = mpsc::unbounded_channel();
        Self {
            context,
            owner_ports,
            ownership_ends,
            takeover_tx,
            takeover_rx,
            stop,
            leases: LeaseTracker::new(lease),
            own_lease: OwnLease::new(lease * OWN_LEASE_PERCENT / 100),
            sequence: 0,
            shard_rows: FxHashMap::default(),
            takeovers: FxHashSet::default(),
            services: FxHashMap::default(),
            listed_vms: FxHashSet::default(),
            config_polls,
            stopping: false,
        }
    }

    /// Keeps the node a member until it was asked to leave and has released all that it owned.
    pub async fn run(mut self) {
        let period = Duration::from_millis(self.context.settings.heartbeat_ms);
        let mut interval = tokio::time::interval(period);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        while !self.has_stopped() {
            tokio::select! {
                _ = interval.tick() => self.run_heartbeat().await,
                Some(ended) = self.ownership_ends.recv() => self.remove_ended_owner(&ended),
                Some(taken) = self.takeover_rx.recv() => self.finish_takeover(taken),
                Ok(()) = self.stop.changed() => self.begin_handover().await,
            }
        }
        self.delete_own_row().await;
    }

    fn has_stopped(&self) -> bool {
        *self.stop.borrow() == StopPhase::Leaving
            && self.stopping
            && self.context.owned_shards.count() == 0
            && self.services.is_empty()
            && self.takeovers.is_empty()
    }

    /// Runs one heartbeat. The write of the heartbeat row and the read of the cell's rows are
    /// concurrent, so that with a slow table a heartbeat takes as long as the slower call and not
    /// as long as both together.
    async fn run_heartbeat(&mut self) {
        self.sequence += 1;
        let began = self.now();
        let table = self.context.table.clone();
        let (written, (read, ended)) = tokio::join!(
            self.write_heartbeat(),
            with_end_time(&self.context, CellRows::read(table.as_ref())),
        );
        if written.is_ok() {
            self.own_lease.renewed(began);
            self.context.note_table_contact(self.now());
        }
        match read {
            Ok(rows) => self.apply_reading(&rows, began, ended).await,
            Err(e) => tracing::debug!(
                "cannot read the heartbeat and shard rows; the next heartbeat reads them again: {e}"
            ),
        }
        if self.sequence.is_multiple_of(self.list_interval()) {
            self.read_vm_list().await;
        }
        self.check_previous_owners().await;
        self.check_isolation().await;
        let current = self.context.config.version().number;
        if !self.context.config.is_ready() || self.config_polls.is_due(self.sequence, current) {
            refresh_config(&self.context).await;
        }
        self.apply_new_config().await;
    }

    fn now(&self) -> Time {
        self.context.clock.now()
    }

    async fn write_heartbeat(&self) -> Result<(), TableError> {
        let settings = &self.context.settings;
        let row = VmRow {
            vm: settings.vm.clone(),
            incarnation: self.context.me.incarnation,
            sequence: self.sequence,
            zone: settings.zone.clone(),
            peers: self.context.peer_address,
            capacity: settings.capacity,
            config_version: self.context.config.version().number,
            stopping: self.stopping,
        };
        let write = Write::Put {
            key: vm_key(&settings.vm),
            value: encode(&row),
        };
        self.context.table.commit(&unconditional_txn(write)).await
    }

    async fn apply_reading(&mut self, rows: &CellRows, began: Time, ended: Time) {
        self.context.note_table_contact(ended);
        let vms = decode_rows::<VmRow>(&rows.vms);
        self.config_polls
            .note_versions(vms.iter().map(|row| row.config_version));
        self.leases.observe(&vms, began, ended);
        self.shard_rows = decode_shard_rows(&rows.shards);
        let snapshot = directory_snapshot(&self.leases, &self.shard_rows, &self.context.me);
        self.context.directory.replace(snapshot);
        self.stop_fenced_owners();
        self.delete_expired_rows(&rows.vms).await;
        self.rebalance_shards().await;
    }

    /// Stops owners that are fenced: the table has a later epoch of their shard.
    fn stop_fenced_owners(&self) {
        for (shard, owned) in self.context.owned_shards.all() {
            let later = |current: &&VersionedShardRow| current.row.epoch > owned.epoch;
            if self.shard_rows.get(&shard).filter(later).is_some() {
                tracing::warn!(
                    %shard,
                    epoch = owned.epoch,
                    "another process has claimed the shard; its owner in this process stops"
                );
                owned.actor.kill();
                self.context.owned_shards.remove(&shard, owned.epoch);
            }
        }
    }

    /// Deletes the heartbeat rows of VMs whose leases expired long ago.
    async fn delete_expired_rows(&self, rows: &[Row]) {
        for row in rows {
            let Ok(vm) = decode::<VmRow>(&row.value) else {
                continue;
            };
            if !self
                .leases
                .is_expired_for(&vm.vm, ROW_RETENTION, self.now())
            {
                continue;
            }
            let _ = self.context.table.commit(&deletion_txn(row)).await;
        }
    }

    /// Takes over shards without a live owner, and releases one shard if this node owns far more
    /// than its share.
    async fn rebalance_shards(&mut self) {
        if self.stopping || !self.own_lease.is_held(self.now()) || !self.context.config.is_ready() {
            return;
        }
        let shards = self.configured_shards();
        let me = self.context.me.vm.clone();
        let ownerships: Vec<ShardOwnership<'_>> = shards
            .iter()
            .map(|shard| self.ownership_of(shard))
            .collect();
        let live: Vec<VmRow> = self.leases.live().cloned().collect();
        let not_stopping = live.iter().filter(|row| !row.stopping);
        let candidates: Vec<Candidate<'_>> = not_stopping
            .map(|row| Candidate {
                vm: &row.vm,
                capacity: row.capacity,
            })
            .collect();
        let to_take: Vec<ShardName> = shards_to_take(&ownerships, &candidates, &me)
            .into_iter()
            .chain(shards.iter().filter(|shard| self.is_orphaned(shard)))
            .cloned()
            .collect();
        let to_release = shard_to_release(&ownerships, &candidates, &me).cloned();
        for shard in to_take {
            self.start_takeover(&shard);
        }
        if let Some(shard) = to_release {
            self.release_shard(&shard).await;
        }
    }

    fn configured_shards(&self) -> Vec<ShardName> {
        let cfg = self.context.config.config();
        let workers = cfg.workers_by_shard().into_keys();
        let services = cfg.service.keys().map(service_shard);
        workers.chain(services).collect()
    }

    fn ownership_of<'a>(&'a self, shard: &'a ShardName) -> ShardOwnership<'a> {
        let owner = self
            .shard_rows
            .get(shard)
            .and_then(|current| current.row.owner.as_ref());
        let live = owner.filter(|owner| self.leases.is_live(&owner.vm, owner.incarnation));
        ShardOwnership {
            shard,
            owner: live.map(|owner| &owner.vm),
        }
    }

    /// Whether the table names this process as the owner of a shard that it does not run.
    fn is_orphaned(&self, shard: &ShardName) -> bool {
        let current = self.shard_rows.get(shard);
        let mine =
            current.is_some_and(|current| current.row.owner.as_ref() == Some(&self.context.me));
        mine && !self.is_running(shard)
    }

    fn is_running(&self, shard: &ShardName) -> bool {
        match service_of(shard) {
            Some(service) => self.services.contains_key(&service),
            None => self.context.owned_shards.contains(shard),
        }
    }

    fn start_takeover(&mut self, shard: &ShardName) {
        if self.is_running(shard) || !self.takeovers.insert(shard.clone()) {
            return;
        }
        let version = self
            .shard_rows
            .get(shard)
            .map_or(0, |current| current.version);
        let table = self.context.table.clone();
        let me = self.context.me.clone();
        let tx = self.takeover_tx.clone();
        let shard = shard.clone();
        tokio::spawn(async move {
            let taken = take_over(table, shard, version, me).await;
            let _ = tx.send(taken);
        });
    }

    fn finish_takeover(&mut self, taken: TakeoverResult) {
        match taken {
            TakeoverResult::NotTaken { shard } => {
                self.takeovers.remove(&shard);
            }
            TakeoverResult::Service { service, claimed } => {
                self.takeovers.remove(&service_shard(&service));
                self.start_service(service, &claimed);
            }
            TakeoverResult::WorkerShard {
                shard,
                claimed,
                rows,
            } => {
                self.takeovers.remove(&shard);
                self.open_shard(&shard, claimed, &rows);
            }
        }
    }

    fn start_service(&mut self, service: ServiceName, claimed: &ClaimedShard) {
        tracing::info!(
            %service,
            epoch = claimed.row.epoch,
            "this VM has claimed the service and grants its slots"
        );
        let owned = OwnedService {
            epoch: claimed.row.epoch,
            version: claimed.version,
        };
        count_takeover(
            &self.owner_ports,
            claimed.previous_owner.as_ref(),
            &self.context.me,
        );
        self.context.slots.start_granting(&service, owned.epoch);
        self.services.insert(service, owned);
    }

    fn open_shard(&mut self, shard: &ShardName, claimed: ClaimedShard, rows: &StoredRows) {
        let epoch = claimed.row.epoch;
        let cfg = self.context.config.config();
        let opened = Shard::open(
            shard,
            claimed.row,
            claimed.version,
            rows,
            &cfg,
            self.context.new_policy(),
            shard_timings(
                &self.context.settings,
                self.leases.live().count(),
                cfg.workers_by_shard().len(),
            ),
            self.now(),
        );
        let mut opened = match opened {
            Ok(opened) => opened,
            Err(e) => return tracing::error!(%shard, error = %e, "cannot open the shard; retrying"),
        };
        let previous_owner = claimed
            .previous_owner
            .filter(|previous_owner| *previous_owner != self.context.me);
        count_takeover(&self.owner_ports, previous_owner.as_ref(), &self.context.me);
        if previous_owner.is_none() {
            opened.previous_owner_gone(self.now());
        }
        tracing::info!(
            %shard,
            epoch,
            jobs = rows.jobs.len(),
            "this VM has claimed the shard and runs its owner"
        );
        let actor = ShardOwner::spawn(ShardOwner::new(opened, self.owner_ports.clone()));
        tokio::spawn(ShardOwner::run_ticks(actor.clone()));
        let owned = OwnedShard {
            actor,
            epoch,
            previous_owner,
        };
        self.context.owned_shards.insert(shard.clone(), owned);
    }

    fn remove_ended_owner(&mut self, ended: &OwnershipEnded) {
        tracing::info!(
            shard = %ended.shard,
            epoch = ended.epoch,
            exit = ?ended.end,
            "the owner of the shard in this process has ended"
        );
        self.context.owned_shards.remove(&ended.shard, ended.epoch);
    }

    async fn release_shard(&mut self, shard: &ShardName) {
        match service_of(shard) {
            Some(service) => self.release_service(&service).await,
            None => {
                if let Some(actor) = self.context.owned_shards.get(shard) {
                    let _ = actor.tell(OwnerEvent::Stop).await;
                }
            }
        }
    }

    async fn release_service(&mut self, service: &ServiceName) {
        let Some(owned) = self.services.remove(service) else {
            return;
        };
        self.context.slots.stop_granting(service);
        release_service(self.context.table.as_ref(), service, owned).await;
    }

    async fn begin_handover(&mut self) {
        if std::mem::replace(&mut self.stopping, true) {
            return;
        }
        self.sequence += 1;
        let _ = self.write_heartbeat().await;
        let services: Vec<ServiceName> = self.services.keys().cloned().collect();
        for service in services {
            self.release_service(&service).await;
        }
        for (_, owned) in self.context.owned_shards.all() {
            let _ = owned.actor.tell(OwnerEvent::Stop).await;
        }
    }

    /// Deletes the heartbeat row of this VM.
    async fn delete_own_row(&self) {
        let write = Write::Delete {
            key: vm_key(&self.context.me.vm),
        };
        let _ = self.context.table.commit(&unconditional_txn(write)).await;
    }

    /// Heartbeats between two reads of the list of VMs. Owners of services need the list often to
    /// stop using leaving backend servers; shards whose previous owner may still run need it to
    /// learn that it has ended.
    fn list_interval(&self) -> u64 {
        let shards = self.context.owned_shards.all();
        let awaits_previous_owner = shards
            .iter()
            .any(|(_, owned)| owned.previous_owner.is_some());
        match awaits_previous_owner || !self.services.is_empty() {
            true => LIST_INTERVAL_HEARTBEATS,
            false => IDLE_LIST_INTERVAL_HEARTBEATS,
        }
    }

    async fn read_vm_list(&mut self) {
        let Ok(list) = self.context.vms.list().await else {
            return;
        };
        let leaving = list.iter().filter(|vm| vm.leaving);
        let leaving: Vec<String> = leaving.map(|vm| vm.name.clone()).collect();
        self.context.slots.set_leaving(&leaving);
        self.listed_vms
            .extend(list.iter().map(|vm| vm.name.clone()));
        let present: FxHashSet<String> = list.into_iter().map(|vm| vm.name).collect();
        self.context.set_delisted(
            self.listed_vms
                .iter()
                .filter(|vm| !present.contains(*vm))
                .map(VmName::new)
                .collect(),
        );
    }

    /// Notifies owners whose previous owners are now known to have ended.
    async fn check_previous_owners(&self) {
        for (shard, owned) in self.context.owned_shards.all() {
            let Some(previous_owner) = &owned.previous_owner else {
                continue;
            };
            let replaced = self
                .leases
                .is_replaced(&previous_owner.vm, previous_owner.incarnation);
            if replaced || self.context.is_delisted(&previous_owner.vm) {
                self.context.owned_shards.clear_previous_owner(&shard);
                let _ = owned.actor.tell(OwnerEvent::PreviousOwnerGone).await;
            }
        }
    }

    /// Drops all ownerships if this VM alone is isolated from the table, or if it has been isolated
    /// for the detached limit. Stops granting slots if any peer is unresponsive.
    async fn check_isolation(&mut self) {
        let now = self.now();
        if self.own_lease.is_held(now) {
            return;
        }
        let age = self.own_lease.age(now).unwrap_or(Duration::MAX);
        let contacts = exchange_digests(&self.context, now).await;
        let max_detached = Duration::from_millis(self.context.settings.detached_ms);
        let lease = Duration::from_millis(self.context.settings.lease_ms);
        let PeerContacts {
            unresponsive,
            min_contact_age,
        } = contacts;
        let is_isolated_alone = min_contact_age.is_some_and(|contact| contact + lease < age);
        if is_isolated_alone || age >= max_detached {
            self.drop_ownerships(age);
        }
        if unresponsive > 0 {
            self.stop_granting_services();
        }
    }

    fn drop_ownerships(&mut self, age: Duration) {
        for owned in self.context.owned_shards.clear() {
            tracing::warn!(
                epoch = owned.epoch,
                age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
                "this VM is isolated from the table and drops the ownership of a shard"
            );
            owned.actor.kill();
        }
        self.stop_granting_services();
    }

    fn stop_granting_services(&mut self) {
        for (service, _) in self.services.drain() {
            self.context.slots.stop_granting(&service);
        }
    }

    async fn apply_new_config(&mut self) {
        let Some(cfg) = self.context.take_new_config() else {
            return;
        };
        self.context.slots.configure(&cfg);
        self.owner_ports.observer.config_applied(&cfg);
        for (_, owned) in self.context.owned_shards.all() {
            let _ = owned.actor.tell(OwnerEvent::Configure(cfg.clone())).await;
        }
    }
}
