//! Heartbeats, leases, and the taking and giving up of shards.

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
use super::times::shard_times;
use crate::config::service_shard;
use crate::decide::assign::{Candidate, ShardOwnership, shard_to_release, shards_to_take};
use crate::decide::lease::{LeaseTracker, OwnLease, VmRow};
use crate::model::{ServiceName, ShardName, Time, VmName};
use crate::port::table::{Row, TableError, Write};
use crate::shard::rows::{decode, encode, vm_key};
use crate::shard::{Shard, StoredRows};

/// The share of the lease for which its holder counts on it, in percent.
const HOLD_PERCENT: u32 = 66;

/// How many heartbeats pass between two readings of the list of VMs.
const LIST_EVERY: u64 = 2;

/// The same where nothing that the VM owns depends on the list.
const LIST_RARELY: u64 = 10;

/// How long a lapsed heartbeat row stays in the table.
const ROW_KEPT: Duration = Duration::from_secs(600);

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopPhase {
    /// No stop was asked for.
    Running,
    /// What is owned is given up.
    HandingOver,
    /// The cell is left once nothing is owned any more.
    Leaving,
}

/// The part of a node that keeps it a member of the cell.
pub struct Membership {
    context: Arc<NodeContext>,
    owner_ports: OwnerPorts,
    ownership_ends: mpsc::UnboundedReceiver<OwnershipEnded>,
    taken_tx: mpsc::UnboundedSender<TakeoverResult>,
    taken_rx: mpsc::UnboundedReceiver<TakeoverResult>,
    stop: watch::Receiver<StopPhase>,
    leases: LeaseTracker,
    own: OwnLease,
    sequence: u64,
    seen: FxHashMap<ShardName, VersionedShardRow>,
    taking: FxHashSet<ShardName>,
    services: FxHashMap<ServiceName, OwnedService>,
    listed: FxHashSet<String>,
    looks: ConfigPollSchedule,
    stopping: bool,
}

impl Membership {
    /// Membership of the node that `context` belongs to; it ends after `stop` says so.
    pub fn new(
        context: Arc<NodeContext>,
        owner_ports: OwnerPorts,
        ownership_ends: mpsc::UnboundedReceiver<OwnershipEnded>,
        stop: watch::Receiver<StopPhase>,
    ) -> Self {
        let lease = Duration::from_millis(context.settings.lease_ms);
        let looks = ConfigPollSchedule::new(context.me.incarnation);
        let (taken_tx, taken_rx) = mpsc::unbounded_channel();
        Self {
            context,
            owner_ports,
            ownership_ends,
            taken_tx,
            taken_rx,
            stop,
            leases: LeaseTracker::new(lease),
            own: OwnLease::new(lease * HOLD_PERCENT / 100),
            sequence: 0,
            seen: FxHashMap::default(),
            taking: FxHashSet::default(),
            services: FxHashMap::default(),
            listed: FxHashSet::default(),
            looks,
            stopping: false,
        }
    }

    /// Keeps the node a member until it has stopped and given up all it owned.
    pub async fn run(mut self) {
        let every = Duration::from_millis(self.context.settings.heartbeat_ms);
        let mut interval = tokio::time::interval(every);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        while !self.has_stopped() {
            tokio::select! {
                _ = interval.tick() => self.beat().await,
                Some(ended) = self.ownership_ends.recv() => self.owner_ended(&ended),
                Some(taken) = self.taken_rx.recv() => self.take_over(taken),
                Ok(()) = self.stop.changed() => self.begin_stop().await,
            }
        }
        self.leave().await;
    }

    fn has_stopped(&self) -> bool {
        *self.stop.borrow() == StopPhase::Leaving
            && self.stopping
            && self.context.owned_shards.count() == 0
            && self.services.is_empty()
            && self.taking.is_empty()
    }

    /// One heartbeat, with the readings beside it: a slow table is asked for all at once, so that a
    /// beat lasts as long as its slowest call and not as long as all of them.
    async fn beat(&mut self) {
        self.sequence += 1;
        let began = self.now();
        let table = self.context.table.clone();
        let (beaten, (read, ended)) = tokio::join!(
            self.heartbeat(),
            with_end_time(&self.context, CellRows::read(table.as_ref())),
        );
        if beaten.is_ok() {
            self.own.renewed(began);
            self.context.note_table_contact(self.now());
        }
        match read {
            Ok(rows) => self.take_reading(&rows, began, ended).await,
            Err(e) => tracing::debug!("the table could not be read: {e}"),
        }
        if self.sequence.is_multiple_of(self.list_every()) {
            self.read_list().await;
        }
        self.check_prior_owners().await;
        self.check_contact().await;
        let have = self.context.config.version().number;
        if !self.context.config.is_ready() || self.looks.is_due(self.sequence, have) {
            refresh_config(&self.context).await;
        }
        self.configure_owners().await;
    }

    fn now(&self) -> Time {
        self.context.clock.now()
    }

    async fn heartbeat(&self) -> Result<(), TableError> {
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

    async fn take_reading(&mut self, rows: &CellRows, began: Time, ended: Time) {
        self.context.note_table_contact(ended);
        let vms = decode_rows::<VmRow>(&rows.vms);
        self.looks
            .note_versions(vms.iter().map(|row| row.config_version));
        self.leases.observe(&vms, began, ended);
        self.seen = decode_shard_rows(&rows.shards);
        let reading = directory_snapshot(&self.leases, &self.seen, &self.context.me);
        self.context.directory.replace(reading);
        self.end_overtaken();
        self.delete_old_rows(&rows.vms).await;
        self.share_out().await;
    }

    /// Ends owners whose shards the table shows under a later epoch.
    fn end_overtaken(&self) {
        for (shard, owned) in self.context.owned_shards.all() {
            let later = |seen: &&VersionedShardRow| seen.row.epoch > owned.epoch;
            if self.seen.get(&shard).filter(later).is_some() {
                tracing::warn!(%shard, epoch = owned.epoch, "another process has the shard");
                owned.actor.kill();
                self.context.owned_shards.remove(&shard, owned.epoch);
            }
        }
    }

    /// Deletes heartbeat rows of VMs that lapsed long ago.
    async fn delete_old_rows(&self, rows: &[Row]) {
        for row in rows {
            let Ok(vm) = decode::<VmRow>(&row.value) else {
                continue;
            };
            if !self.leases.is_expired_for(&vm.vm, ROW_KEPT, self.now()) {
                continue;
            }
            let _ = self.context.table.commit(&deletion_txn(row)).await;
        }
    }

    /// Takes shards without a live owner, and gives one up where this node has far too many.
    async fn share_out(&mut self) {
        if self.stopping || !self.own.is_held(self.now()) || !self.context.config.is_ready() {
            return;
        }
        let shards = self.known_shards();
        let me = self.context.me.vm.clone();
        let holdings: Vec<ShardOwnership<'_>> =
            shards.iter().map(|shard| self.holding(shard)).collect();
        let live: Vec<VmRow> = self.leases.live().cloned().collect();
        let willing = live.iter().filter(|row| !row.stopping);
        let candidates: Vec<Candidate<'_>> = willing
            .map(|row| Candidate {
                vm: &row.vm,
                capacity: row.capacity,
            })
            .collect();
        let take: Vec<ShardName> = shards_to_take(&holdings, &candidates, &me)
            .into_iter()
            .chain(shards.iter().filter(|shard| self.is_orphaned(shard)))
            .cloned()
            .collect();
        let give_up = shard_to_release(&holdings, &candidates, &me).cloned();
        for shard in take {
            self.start_taking(&shard);
        }
        if let Some(shard) = give_up {
            self.give_up(&shard).await;
        }
    }

    fn known_shards(&self) -> Vec<ShardName> {
        let cfg = self.context.config.config();
        let workers = cfg.worker_shards().into_keys();
        let services = cfg.service.keys().map(service_shard);
        workers.chain(services).collect()
    }

    fn holding<'a>(&'a self, shard: &'a ShardName) -> ShardOwnership<'a> {
        let owner = self
            .seen
            .get(shard)
            .and_then(|seen| seen.row.owner.as_ref());
        let live = owner.filter(|owner| self.leases.is_live(&owner.vm, owner.incarnation));
        ShardOwnership {
            shard,
            owner: live.map(|owner| &owner.vm),
        }
    }

    /// Whether the table names this process as the owner of a shard that it no longer runs.
    fn is_orphaned(&self, shard: &ShardName) -> bool {
        let seen = self.seen.get(shard);
        let mine = seen.is_some_and(|seen| seen.row.owner.as_ref() == Some(&self.context.me));
        mine && !self.runs(shard)
    }

    fn runs(&self, shard: &ShardName) -> bool {
        match service_of(shard) {
            Some(service) => self.services.contains_key(&service),
            None => self.context.owned_shards.contains(shard),
        }
    }

    fn start_taking(&mut self, shard: &ShardName) {
        if self.runs(shard) || !self.taking.insert(shard.clone()) {
            return;
        }
        let version = self.seen.get(shard).map_or(0, |seen| seen.version);
        let table = self.context.table.clone();
        let me = self.context.me.clone();
        let tx = self.taken_tx.clone();
        let shard = shard.clone();
        tokio::spawn(async move {
            let taken = take_over(table, shard, version, me).await;
            let _ = tx.send(taken);
        });
    }

    fn take_over(&mut self, taken: TakeoverResult) {
        match taken {
            TakeoverResult::NotTaken { shard } => {
                self.taking.remove(&shard);
            }
            TakeoverResult::Service { service, claimed } => {
                self.taking.remove(&service_shard(&service));
                self.own_service(service, &claimed);
            }
            TakeoverResult::WorkerShard {
                shard,
                claimed,
                rows,
            } => {
                self.taking.remove(&shard);
                self.open(&shard, claimed, &rows);
            }
        }
    }

    fn own_service(&mut self, service: ServiceName, claimed: &ClaimedShard) {
        tracing::info!(%service, epoch = claimed.row.epoch, "owns the service's slots");
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

    fn open(&mut self, shard: &ShardName, claimed: ClaimedShard, rows: &StoredRows) {
        let epoch = claimed.row.epoch;
        let cfg = self.context.config.config();
        let opened = Shard::open(
            shard,
            claimed.row,
            claimed.version,
            rows,
            &cfg,
            self.context.new_policy(),
            shard_times(
                &self.context.settings,
                self.leases.live().count(),
                cfg.worker_shards().len(),
            ),
            self.now(),
        );
        let mut opened = match opened {
            Ok(opened) => opened,
            Err(e) => return tracing::error!(%shard, error = %e, "the shard cannot be opened"),
        };
        let previous_owner = claimed
            .previous_owner
            .filter(|previous_owner| *previous_owner != self.context.me);
        count_takeover(&self.owner_ports, previous_owner.as_ref(), &self.context.me);
        if previous_owner.is_none() {
            opened.previous_owner_gone(self.now());
        }
        tracing::info!(%shard, epoch, jobs = rows.jobs.len(), "owns the shard");
        let actor = ShardOwner::spawn(ShardOwner::new(opened, self.owner_ports.clone()));
        tokio::spawn(ShardOwner::run_ticks(actor.clone()));
        let owned = OwnedShard {
            actor,
            epoch,
            previous_owner,
        };
        self.context.owned_shards.insert(shard.clone(), owned);
    }

    fn owner_ended(&mut self, ended: &OwnershipEnded) {
        tracing::info!(shard = %ended.shard, epoch = ended.epoch, exit = ?ended.end, "ownership ended");
        self.context.owned_shards.remove(&ended.shard, ended.epoch);
    }

    async fn give_up(&mut self, shard: &ShardName) {
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

    async fn begin_stop(&mut self) {
        if std::mem::replace(&mut self.stopping, true) {
            return;
        }
        self.sequence += 1;
        let _ = self.heartbeat().await;
        let services: Vec<ServiceName> = self.services.keys().cloned().collect();
        for service in services {
            self.release_service(&service).await;
        }
        for (_, owned) in self.context.owned_shards.all() {
            let _ = owned.actor.tell(OwnerEvent::Stop).await;
        }
    }

    /// Deletes the own heartbeat row.
    async fn leave(&self) {
        let write = Write::Delete {
            key: vm_key(&self.context.me.vm),
        };
        let _ = self.context.table.commit(&unconditional_txn(write)).await;
    }

    /// Owners of services stop using leaving backend servers, and shards whose earlier owner may still
    /// go on wait until it is gone.
    fn list_every(&self) -> u64 {
        let shards = self.context.owned_shards.all();
        let waits = shards
            .iter()
            .any(|(_, owned)| owned.previous_owner.is_some());
        match waits || !self.services.is_empty() {
            true => LIST_EVERY,
            false => LIST_RARELY,
        }
    }

    async fn read_list(&mut self) {
        let Ok(list) = self.context.vms.list().await else {
            return;
        };
        let leaving = list.iter().filter(|vm| vm.leaving);
        let leaving: Vec<String> = leaving.map(|vm| vm.name.clone()).collect();
        self.context.slots.set_leaving(&leaving);
        self.listed.extend(list.iter().map(|vm| vm.name.clone()));
        let present: FxHashSet<String> = list.into_iter().map(|vm| vm.name).collect();
        self.context.set_delisted(
            self.listed
                .iter()
                .filter(|vm| !present.contains(*vm))
                .map(VmName::new)
                .collect(),
        );
    }

    /// Tells owners whose predecessors are now known to be gone.
    async fn check_prior_owners(&self) {
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

    /// Steps back where this VM alone is cut off from the table.
    async fn check_contact(&mut self) {
        let now = self.now();
        if self.own.is_held(now) {
            return;
        }
        let age = self.own.age(now).unwrap_or(Duration::MAX);
        let contacts = exchange_digests(&self.context, now).await;
        let detached = Duration::from_millis(self.context.settings.detached_ms);
        let lease = Duration::from_millis(self.context.settings.lease_ms);
        let PeerContacts {
            unresponsive,
            min_contact_age,
        } = contacts;
        let cut_off = min_contact_age.is_some_and(|contact| contact + lease < age);
        if cut_off || age >= detached {
            self.step_back(age);
        }
        if unresponsive > 0 {
            self.disown_services();
        }
    }

    fn step_back(&mut self, age: Duration) {
        for owned in self.context.owned_shards.clear() {
            tracing::warn!(
                epoch = owned.epoch,
                age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
                "steps back: this VM is cut off from the table"
            );
            owned.actor.kill();
        }
        self.disown_services();
    }

    fn disown_services(&mut self) {
        for (service, _) in self.services.drain() {
            self.context.slots.stop_granting(&service);
        }
    }

    async fn configure_owners(&mut self) {
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
