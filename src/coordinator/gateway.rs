//! Answers callers on any VM, from the owner or, where that is not reached, from the store.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use futures_util::future::join_all;
use tokio::sync::oneshot;

use super::cluster_view::ClusterView;
use super::elector::OwnerElector;
use super::event::{Event, OwnerRequest};
use super::layout::InboxEntry;
use super::message::{WorkflowReply, WorkflowRequest};
use super::outbox::Outbox;
use super::reader::{self, CALL_TIMEOUT};
use super::shards::{OwnerElectors, ShardId, ShardMap};
use crate::message::{Reply, Request};
use crate::metrics::{Counter, Metrics, Timer};
use crate::model::{QueueName, Time};
use crate::node::clock::Clock;
use crate::port::peer::{PeerError, SharedPeers};
use crate::port::record_store::{SharedRecordStore, StoreError};
use crate::workflow::record::WorkflowState;
use crate::workflow::{QueueConfig, WorkflowId, WorkflowSpec};

/// How long the owner is waited for before the store is tried: an owner on a slowed VM answers within
/// it, and a caller's time leaves room for two more tries.
const OWNER_TIMEOUT: Duration = Duration::from_millis(800);

/// How long the store is tried where it does nothing, so that the caller learns it early.
const STORE_REFUSES: Duration = Duration::from_millis(150);

/// Kept of a caller's time for the way back.
const ANSWER_MARGIN: Duration = Duration::from_millis(50);

/// After a refusal the caller may come back after so long: about the time in which a lost owner is
/// followed.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

/// An answer to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatewayResponse {
    /// The workflow is accepted and recorded.
    Accepted,
    /// How the workflow stands.
    State(WorkflowState),
    /// The workflow is cancelled or has ended otherwise.
    Cancelled,
    /// So many workflows of the queue have started nothing.
    Pending(u64),
    /// There is no such workflow.
    NoSuchWorkflow,
    /// The workflow was not accepted and never runs.
    NotRun,
    /// What became of the call cannot be known now.
    Unknown,
}

/// Why the owner gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unreached {
    /// The question did not reach it.
    NotSent,
    /// The question may have reached it.
    NoReply,
}

/// Answers callers.
pub struct Gateway {
    records: SharedRecordStore,
    peers: SharedPeers,
    directory: Arc<ClusterView>,
    seats: Arc<OwnerElectors>,
    outbox: Outbox,
    config: ArcSwap<Option<QueueConfig>>,
    clock: Clock,
    metrics: Metrics,
}

impl Gateway {
    pub(super) fn new(
        records: SharedRecordStore,
        peers: SharedPeers,
        directory: Arc<ClusterView>,
        seats: Arc<OwnerElectors>,
        clock: Clock,
        metrics: Metrics,
    ) -> Self {
        Self {
            outbox: Outbox::new(&directory.local_member().vm, records.clone()),
            records,
            peers,
            directory,
            seats,
            config: ArcSwap::from_pointee(None),
            clock,
            metrics,
        }
    }

    /// The configuration in force on this VM, if there is one yet.
    pub fn config(&self) -> Arc<Option<QueueConfig>> {
        self.config.load_full()
    }

    /// Puts a configuration in force; an older one than the present is passed over.
    pub(super) fn set_config(&self, config: QueueConfig) -> bool {
        let known = self.config();
        let newer = known.as_ref().as_ref();
        if newer.is_some_and(|known| known.version >= config.version) {
            return false;
        }
        tracing::info!(
            version = config.version,
            queues = config.routes.len(),
            "a configuration is in force"
        );
        self.metrics.count(Counter::ConfigApplied, 1);
        self.config.store(Arc::new(Some(config)));
        true
    }

    /// Whether callers are served: the configuration and the owner of each shard are known.
    pub fn is_ready(&self) -> bool {
        let shards = self.seats.map();
        let mut shards = shards.iter().flat_map(ShardMap::shards);
        let known = shards.all(|shard| self.directory.owner(shard).is_some());
        known && self.seats.map().is_some() && self.config().is_some()
    }

    /// The shard of a workflow; `None` while it is not known how many there are.
    fn shard_of(&self, id: WorkflowId) -> Option<ShardId> {
        Some(self.seats.map()?.of_workflow(id))
    }

    /// The present time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Counts an answer to a call that began at `began`.
    fn count(&self, began: Time, answer: GatewayResponse) {
        self.metrics.count(Counter::Requests, 1);
        match answer {
            GatewayResponse::NotRun => self.metrics.count(Counter::RequestsRefused, 1),
            GatewayResponse::Unknown => self.metrics.count(Counter::RequestsUnknown, 1),
            GatewayResponse::Accepted => self.metrics.count(Counter::JobsAccepted, 1),
            _ => {}
        }
        self.metrics
            .time(Timer::RequestTime, self.now().since(began));
    }

    /// Hands a workflow in; the answer comes within `limit`.
    pub async fn submit(
        &self,
        id: WorkflowId,
        spec: WorkflowSpec,
        limit: Duration,
    ) -> GatewayResponse {
        let began = self.now();
        let deadline = began + limit.saturating_sub(ANSWER_MARGIN);
        let Some(shard) = self.shard_of(id) else {
            self.count(began, GatewayResponse::NotRun);
            return GatewayResponse::NotRun;
        };
        let ask = WorkflowRequest::Submit {
            id,
            spec: spec.clone(),
        };
        let answer = match self.ask_owner(shard, ask, deadline).await {
            Ok(WorkflowReply::Accepted) => GatewayResponse::Accepted,
            // The store may take what is handed over though it does not take the owner's records, as
            // they lie in different partitions.
            Ok(WorkflowReply::Refused | WorkflowReply::NotOwner(_)) | Err(Unreached::NotSent) => {
                self.hand_over(shard, id, spec, false, deadline).await
            }
            // The owner may have it, so a failure to hand it over does not mean that it never runs.
            Ok(_) | Err(Unreached::NoReply) => {
                match self.hand_over(shard, id, spec, true, deadline).await {
                    GatewayResponse::NotRun => GatewayResponse::Unknown,
                    answer => answer,
                }
            }
        };
        tracing::info!(request = %id, ?answer, shard = shard.0,
            owner = self.owner_epoch(shard), time_left_ms = left(deadline, self.now()).as_millis(), "a submission is answered");
        self.count(began, answer);
        answer
    }

    /// Writes a new workflow to the store, for the owner to find. Where it is `open` whether the
    /// workflow will run, that is tried for all the time that the caller waits.
    async fn hand_over(
        &self,
        shard: ShardId,
        id: WorkflowId,
        spec: WorkflowSpec,
        open: bool,
        deadline: Time,
    ) -> GatewayResponse {
        let handover = InboxEntry::Submitted(spec);
        let written = self.write_within(shard, id, handover, open, deadline);
        match written.await {
            Ok(()) => GatewayResponse::Accepted,
            Err(StoreError::NotDone(reason) | StoreError::Rejected(reason)) => {
                tracing::warn!(request = %id, reason, "a workflow is refused, as the store does not take it");
                GatewayResponse::NotRun
            }
            Err(StoreError::Unknown(reason)) => {
                tracing::warn!(request = %id, reason, "it is open whether a workflow is recorded");
                GatewayResponse::Unknown
            }
        }
    }

    /// Repeats a write until it has a result. Where the store does nothing this ends soon, unless the
    /// effect of an earlier try is `open`; a later failure does not close that.
    async fn write_within(
        &self,
        shard: ShardId,
        id: WorkflowId,
        handover: InboxEntry,
        mut open: bool,
        deadline: Time,
    ) -> Result<(), StoreError> {
        /// Before a write without a result is sent again.
        const RETRY_PAUSE: Duration = Duration::from_millis(50);
        let give_up = self.now() + STORE_REFUSES;
        loop {
            let limit = left(deadline, self.now()).min(CALL_TIMEOUT);
            let written = self.outbox.write(shard, id, handover.clone(), limit);
            let Err(error) = written.await else {
                return Ok(());
            };
            open |= matches!(error, StoreError::Unknown(_));
            let now = self.now();
            let until = if open { deadline } else { give_up };
            let rejected = matches!(error, StoreError::Rejected(_));
            if rejected || now >= until || left(deadline, now) <= RETRY_PAUSE {
                return Err(if open {
                    StoreError::Unknown(error.to_string())
                } else {
                    error
                });
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// How a workflow stands.
    pub async fn state(&self, id: WorkflowId, limit: Duration) -> GatewayResponse {
        let began = self.now();
        let answer = self.find_state(id, limit).await;
        self.count(began, answer);
        answer
    }

    async fn find_state(&self, id: WorkflowId, limit: Duration) -> GatewayResponse {
        let deadline = self.now() + limit.saturating_sub(ANSWER_MARGIN);
        let Some(shard) = self.shard_of(id) else {
            return GatewayResponse::Unknown;
        };
        let told = self
            .ask_owner(shard, WorkflowRequest::State(id), deadline)
            .await;
        if let Ok(WorkflowReply::State(Some(state))) = told {
            return GatewayResponse::State(state);
        }
        match reader::read_state(&self.records, shard, id).await {
            Ok(Some(state)) => GatewayResponse::State(state),
            Ok(None) => {
                tracing::info!(request = %id, "a caller asks for a workflow that is not recorded");
                GatewayResponse::NoSuchWorkflow
            }
            Err(error) => {
                tracing::warn!(request = %id, %error, "how a workflow stands cannot be known now");
                GatewayResponse::Unknown
            }
        }
    }

    /// Cancels a workflow.
    pub async fn cancel(&self, id: WorkflowId, limit: Duration) -> GatewayResponse {
        let deadline = self.now() + limit.saturating_sub(ANSWER_MARGIN);
        let Some(shard) = self.shard_of(id) else {
            return GatewayResponse::Unknown;
        };
        let answer = match self
            .ask_owner(shard, WorkflowRequest::Cancel(id), deadline)
            .await
        {
            Ok(WorkflowReply::Cancelled) => GatewayResponse::Cancelled,
            _ => self.cancel_in_store(shard, id, deadline).await,
        };
        tracing::info!(request = %id, ?answer, shard = shard.0, owner = self.owner_epoch(shard),
            "a cancellation is answered");
        answer
    }

    /// Writes a cancellation to the store, for the owner to find.
    async fn cancel_in_store(
        &self,
        shard: ShardId,
        id: WorkflowId,
        deadline: Time,
    ) -> GatewayResponse {
        match reader::read_state(&self.records, shard, id).await {
            Ok(Some(state)) if state.is_final() => return GatewayResponse::Cancelled,
            Ok(Some(_)) => {}
            Ok(None) => return GatewayResponse::NoSuchWorkflow,
            Err(error) => {
                tracing::warn!(request = %id, %error, "a workflow to cancel cannot be read");
                return GatewayResponse::Unknown;
            }
        }
        let written = self.write_within(shard, id, InboxEntry::Cancelled, true, deadline);
        match written.await {
            Ok(()) => GatewayResponse::Cancelled,
            Err(error) => {
                tracing::warn!(request = %id, %error, "a cancellation is not recorded");
                GatewayResponse::Unknown
            }
        }
    }

    /// How many workflows of a queue have started nothing.
    pub async fn pending(&self, queue: &QueueName, limit: Duration) -> GatewayResponse {
        let deadline = self.now() + limit.saturating_sub(ANSWER_MARGIN);
        let Some(map) = self.seats.map() else {
            return GatewayResponse::Unknown;
        };
        let asked = map.shards().map(|shard| {
            let ask = WorkflowRequest::Pending {
                shard,
                queue: queue.clone(),
            };
            self.ask_owner(shard, ask, deadline)
        });
        let mut total = 0;
        for told in join_all(asked).await {
            match told {
                Ok(WorkflowReply::Pending(count)) => total += count,
                other => {
                    tracing::warn!(%queue, owner_said = ?other, "a queue cannot be counted now");
                    return GatewayResponse::Unknown;
                }
            }
        }
        GatewayResponse::Pending(total)
    }

    /// Asks the owner of the shard, unless it left the last question without an answer.
    async fn ask_owner(
        &self,
        shard: ShardId,
        ask: WorkflowRequest,
        deadline: Time,
    ) -> Result<WorkflowReply, Unreached> {
        /// A second owner is asked where the first has given up.
        const TRIES: usize = 2;
        for _ in 0..TRIES {
            let limit = left(deadline, self.now()).min(OWNER_TIMEOUT);
            let seat = self.seats.get(shard).filter(|seat| seat.is_owner());
            if let Some(seat) = seat {
                return seat.ask(&ask, limit).await.ok_or(Unreached::NoReply);
            }
            let owner = self.directory.owner(shard).ok_or(Unreached::NotSent)?;
            let address = owner.address;
            if address == self.directory.local_address()
                || self.directory.is_owner_unresponsive(shard)
            {
                return Err(Unreached::NotSent);
            }
            let request = Request::Workflow(ask.clone());
            match self.peers.call(address, &request, limit).await {
                Ok(Reply::Workflow(WorkflowReply::NotOwner(hint))) => {
                    let hint = hint.filter(|hint| hint.epoch > owner.epoch);
                    let hint = hint.ok_or(Unreached::NotSent)?;
                    self.directory.set_owner(shard, hint);
                }
                Ok(Reply::Workflow(told)) => return Ok(told),
                Ok(other) => {
                    tracing::warn!(?other, "the owner gave an unexpected reply");
                    return Err(Unreached::NoReply);
                }
                Err(PeerError::NoReply(reason)) => {
                    tracing::debug!(reason, %address, "the owner did not answer");
                    self.directory.set_owner_responsive(shard, false);
                    return Err(Unreached::NoReply);
                }
                Err(error) => {
                    tracing::debug!(%error, %address, "the owner was not reached");
                    self.directory.set_owner_responsive(shard, false);
                    return Err(Unreached::NotSent);
                }
            }
        }
        Err(Unreached::NotSent)
    }

    fn owner_epoch(&self, shard: ShardId) -> u64 {
        self.directory.owner(shard).map_or(0, |owner| owner.epoch)
    }
}

fn left(deadline: Time, now: Time) -> Duration {
    deadline.since(now)
}

impl OwnerElector {
    /// Asks the owner on this VM; `None` where there is none or it does not answer in time.
    pub(super) async fn ask(
        &self,
        ask: &WorkflowRequest,
        limit: Duration,
    ) -> Option<WorkflowReply> {
        let owner = self.owner()?;
        let ask = match ask {
            WorkflowRequest::Submit { id, spec } => OwnerRequest::Submit(*id, spec.clone()),
            WorkflowRequest::State(id) => OwnerRequest::State(*id),
            WorkflowRequest::Cancel(id) => OwnerRequest::Cancel(*id),
            WorkflowRequest::Pending { queue, .. } => OwnerRequest::Pending(queue.clone()),
            WorkflowRequest::Ping { .. }
            | WorkflowRequest::Store { .. }
            | WorkflowRequest::Permits { .. }
            | WorkflowRequest::TakeOver { .. } => {
                return None;
            }
        };
        let (tx, rx) = oneshot::channel();
        owner.tell(Event::Request(ask, tx)).await.ok()?;
        tokio::time::timeout(limit, rx).await.ok()?.ok()
    }
}
