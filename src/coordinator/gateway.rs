//! Handles the requests of callers on any VM, through the shard's owner or, if the owner is unreachable,
//! through the store.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::sync::oneshot;

use super::availability::StoreAvailability;
use super::cluster_view::ClusterView;
use super::current_config::{ConfigInForce, CurrentConfig};
use super::elector::OwnerElector;
use super::event::{Event, OwnerRequest};
use super::layout::InboxEntry;
use super::message::{WorkflowReply, WorkflowRequest};
use super::outbox::Outbox;
use super::owner::WorkflowOwnerPorts;
use super::reader::{self, CALL_TIMEOUT};
use super::shards::{OwnerElectors, ShardId, ShardMap};
use crate::message::{Reply, Request};
use crate::metrics::{Counter, Metrics, Timer};
use crate::model::{QueueName, Time};
use crate::node::clock::Clock;
use crate::port::peer::{PeerError, SharedPeerClient};
use crate::port::record_store::{SharedRecordStore, StoreError};
use crate::workflow::record::WorkflowState;
use crate::workflow::{Access, WorkflowId, WorkflowSpec};

/// The timeout of a request to the owner, after which the store is tried. An owner on a slowed VM replies
/// within this time, and the timeout of a caller leaves time for two more tries.
const OWNER_TIMEOUT: Duration = Duration::from_millis(800);

/// How long a write is retried that the store certainly did not apply, so that the caller gets an early
/// refusal.
const UNAPPLIED_WRITE_TIMEOUT: Duration = Duration::from_millis(150);

/// Part of a caller's timeout that is reserved for sending the response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(50);

/// When a refused caller may retry: about the time in which another VM takes over from a failed owner.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A response to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatewayResponse {
    /// The workflow is accepted and recorded.
    Accepted,
    /// The workflow's state.
    State(WorkflowState),
    /// The workflow is cancelled or has ended otherwise.
    Cancelled,
    /// The number of the queue's workflows that have not started any task.
    Pending(u64),
    /// There is no such workflow, or it belongs to another account.
    NoSuchWorkflow,
    /// The workflow was not accepted because its id is that of a workflow of another account.
    OtherAccount,
    /// The workflow was not accepted and never runs.
    NotRun,
    /// The workflow was not accepted, because it cannot end in time or the store is down, and never
    /// runs.
    RetryLater {
        /// When the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The outcome of the request is unknown.
    Unknown,
}

/// Why a request to the owner got no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OwnerCallError {
    /// The request did not reach the owner.
    NotSent,
    /// The request may have reached the owner.
    NoReply,
}

/// Handles the requests of callers.
pub struct Gateway {
    pub(super) store: SharedRecordStore,
    peers: SharedPeerClient,
    cluster: Arc<ClusterView>,
    electors: Arc<OwnerElectors>,
    outbox: Outbox,
    config: Arc<CurrentConfig>,
    availability: Arc<StoreAvailability>,
    overload_control: bool,
    clock: Clock,
    pub(super) metrics: Metrics,
}

impl Gateway {
    pub(super) fn new(
        ports: &WorkflowOwnerPorts,
        electors: Arc<OwnerElectors>,
        config: Arc<CurrentConfig>,
        availability: Arc<StoreAvailability>,
    ) -> Self {
        let cluster = ports.cluster.clone();
        Self {
            outbox: Outbox::new(&cluster.local_member().vm, ports.store.clone()),
            store: ports.store.clone(),
            peers: ports.peers.clone(),
            cluster,
            electors,
            config,
            availability,
            overload_control: ports.overload_control,
            clock: ports.clock,
            metrics: ports.metrics.clone(),
        }
    }

    /// The configuration in force on this VM, if there is one yet.
    pub fn config(&self) -> Option<Arc<ConfigInForce>> {
        self.config.get()
    }

    /// Whether this VM can serve callers: the configuration and the owner of each shard are known.
    pub fn is_ready(&self) -> bool {
        let shards = self.electors.map();
        let mut shards = shards.iter().flat_map(ShardMap::shards);
        let owners_known = shards.all(|shard| self.cluster.owner(shard).is_some());
        owners_known && self.electors.map().is_some() && self.config().is_some()
    }

    /// The shard of a workflow; `None` until the number of shards is known.
    fn shard_of(&self, id: WorkflowId) -> Option<ShardId> {
        Some(self.electors.map()?.of_workflow(id))
    }

    /// The current time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Records the metrics of a request that arrived at `started_at`.
    fn record_metrics(&self, started_at: Time, response: GatewayResponse) {
        self.metrics.count(Counter::Requests, 1);
        match response {
            GatewayResponse::NotRun
            | GatewayResponse::OtherAccount
            | GatewayResponse::RetryLater { .. } => {
                self.metrics.count(Counter::RequestsRefused, 1);
            }
            GatewayResponse::Unknown => self.metrics.count(Counter::RequestsUnknown, 1),
            GatewayResponse::Accepted => self.metrics.count(Counter::JobsAccepted, 1),
            _ => {}
        }
        self.metrics
            .time(Timer::RequestTime, self.now().since(started_at));
    }

    /// Submits a workflow of a caller with this access; responds within `timeout`.
    pub async fn submit(
        &self,
        id: WorkflowId,
        spec: WorkflowSpec,
        access: &Access,
        timeout: Duration,
    ) -> GatewayResponse {
        let started_at = self.now();
        let deadline = started_at + timeout.saturating_sub(RESPONSE_MARGIN);
        let Some(shard) = self.shard_of(id) else {
            self.record_metrics(started_at, GatewayResponse::NotRun);
            return GatewayResponse::NotRun;
        };
        if self.availability.refuses_submission(started_at) {
            tracing::info!(request = %id, shard = shard.0,
                "refusing a workflow submission at once because the store is down");
            let response = self.refused_by_store(id);
            self.record_metrics(started_at, response);
            return response;
        }
        let request = WorkflowRequest::submit(id, spec.clone(), access);
        let reply = self.call_owner(shard, request, deadline).await;
        let answer = match reply {
            Ok(WorkflowReply::Accepted) => GatewayResponse::Accepted,
            // An inbox entry would make the owner accept the workflow after all.
            Ok(WorkflowReply::Overloaded { retry_after_ms }) => {
                GatewayResponse::RetryLater { retry_after_ms }
            }
            Ok(WorkflowReply::OtherAccount) => GatewayResponse::OtherAccount,
            _ if self.is_recorded_for_other(shard, id, access).await => {
                GatewayResponse::OtherAccount
            }
            // The store may accept the inbox entry even if it rejects the owner's transactions, because
            // the two are in different partitions.
            Ok(WorkflowReply::Refused | WorkflowReply::NotOwner(_))
            | Err(OwnerCallError::NotSent) => {
                self.submit_to_inbox(shard, id, spec, false, deadline).await
            }
            // The owner may have accepted the workflow, so it may run even if this write fails.
            Ok(_) | Err(OwnerCallError::NoReply) => {
                match self.submit_to_inbox(shard, id, spec, true, deadline).await {
                    GatewayResponse::NotRun | GatewayResponse::RetryLater { .. } => {
                        GatewayResponse::Unknown
                    }
                    response => response,
                }
            }
        };
        if answer == GatewayResponse::OtherAccount {
            tracing::info!(request = %id, account = ?access.account(), rule = "workflow id",
                "refusing a workflow because its id is that of a workflow of another account");
        }
        tracing::info!(request = %id, ?answer, shard = shard.0,
            owner = self.owner_epoch(shard),
            time_left_ms = time_left(deadline, self.now()).as_millis(),
            "responding to a workflow submission");
        self.record_metrics(started_at, answer);
        answer
    }

    /// The refusal of a workflow that the store does not accept.
    fn refused_by_store(&self, id: WorkflowId) -> GatewayResponse {
        if !self.overload_control {
            return GatewayResponse::NotRun;
        }
        let retry_after = self.availability.retry_after(id, self.now());
        let retry_after_ms = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
        GatewayResponse::RetryLater { retry_after_ms }
    }

    /// Writes a new workflow to an inbox of the shard. `outcome_unknown` says whether the owner may have
    /// accepted the workflow; if so, the write is retried until the deadline.
    async fn submit_to_inbox(
        &self,
        shard: ShardId,
        id: WorkflowId,
        spec: WorkflowSpec,
        outcome_unknown: bool,
        deadline: Time,
    ) -> GatewayResponse {
        let entry = InboxEntry::Submitted(spec);
        let written = self.write_to_inbox(shard, id, entry, outcome_unknown, deadline);
        match written.await {
            Ok(()) => GatewayResponse::Accepted,
            Err(StoreError::NotDone(reason) | StoreError::Rejected(reason)) => {
                tracing::warn!(request = %id, reason,
                    "refusing a workflow because the store does not accept its inbox entry");
                self.refused_by_store(id)
            }
            Err(StoreError::Unknown(reason)) => {
                tracing::warn!(request = %id, reason,
                    "cannot tell whether the inbox entry of a workflow is written; \
                     responding that the outcome is unknown");
                GatewayResponse::Unknown
            }
        }
    }

    /// Writes an inbox entry and retries until the deadline. The retries end early while the store is
    /// down, and if the store certainly did not apply the write, unless an earlier try may have taken
    /// effect; a later failure does not rule that out.
    async fn write_to_inbox(
        &self,
        shard: ShardId,
        id: WorkflowId,
        entry: InboxEntry,
        mut outcome_unknown: bool,
        deadline: Time,
    ) -> Result<(), StoreError> {
        /// The delay before a write is retried.
        const RETRY_DELAY: Duration = Duration::from_millis(50);
        let early_deadline = self.now() + UNAPPLIED_WRITE_TIMEOUT;
        loop {
            let timeout = time_left(deadline, self.now()).min(CALL_TIMEOUT);
            let written = self.outbox.write(shard, id, entry.clone(), timeout);
            let Err(error) = written.await else {
                return Ok(());
            };
            outcome_unknown |= matches!(error, StoreError::Unknown(_));
            let now = self.now();
            let until = if outcome_unknown && !self.availability.is_down(now) {
                deadline
            } else {
                early_deadline
            };
            let rejected = matches!(error, StoreError::Rejected(_));
            if rejected || now >= until || time_left(deadline, now) <= RETRY_DELAY {
                return Err(if outcome_unknown {
                    StoreError::Unknown(error.to_string())
                } else {
                    error
                });
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Reads the state of a workflow that the caller has access to, from its owner within `timeout` or else
    /// from the store.
    pub async fn state(
        &self,
        id: WorkflowId,
        access: &Access,
        timeout: Duration,
    ) -> GatewayResponse {
        let started_at = self.now();
        let response = self.find_state(id, access, timeout).await;
        self.record_metrics(started_at, response);
        response
    }

    async fn find_state(
        &self,
        id: WorkflowId,
        access: &Access,
        timeout: Duration,
    ) -> GatewayResponse {
        let deadline = self.now() + timeout.saturating_sub(RESPONSE_MARGIN);
        let Some(shard) = self.shard_of(id) else {
            return GatewayResponse::Unknown;
        };
        let request = WorkflowRequest::state(id, access);
        match self.call_owner(shard, request, deadline).await {
            Ok(WorkflowReply::State(Some(state))) => return GatewayResponse::State(state),
            Ok(WorkflowReply::OtherAccount) => return no_access(id, access),
            _ => {}
        }
        match reader::read_status(&self.store, shard, id).await {
            Ok(Some(status)) if access.permits(status.account.as_ref()) => {
                GatewayResponse::State(status.state)
            }
            Ok(Some(_)) => no_access(id, access),
            Ok(None) => {
                tracing::info!(request = %id,
                    "a caller requests the state of a workflow that is not recorded");
                GatewayResponse::NoSuchWorkflow
            }
            Err(error) => {
                tracing::warn!(request = %id, %error,
                    "cannot read the state of a workflow; responding that it is unknown");
                GatewayResponse::Unknown
            }
        }
    }

    /// Cancels a workflow that the caller has access to, through its owner or else through an inbox of the
    /// shard, with writes and requests limited by `timeout`.
    pub async fn cancel(
        &self,
        id: WorkflowId,
        access: &Access,
        timeout: Duration,
    ) -> GatewayResponse {
        let deadline = self.now() + timeout.saturating_sub(RESPONSE_MARGIN);
        let Some(shard) = self.shard_of(id) else {
            return GatewayResponse::Unknown;
        };
        let request = WorkflowRequest::cancel(id, access);
        let answer = match self.call_owner(shard, request, deadline).await {
            Ok(WorkflowReply::Cancelled) => GatewayResponse::Cancelled,
            Ok(WorkflowReply::OtherAccount) => no_access(id, access),
            _ => self.cancel_in_inbox(shard, id, access, deadline).await,
        };
        tracing::info!(request = %id, ?answer, shard = shard.0, owner = self.owner_epoch(shard),
            "responding to a cancellation");
        answer
    }

    /// Writes a cancellation to an inbox of the shard.
    async fn cancel_in_inbox(
        &self,
        shard: ShardId,
        id: WorkflowId,
        access: &Access,
        deadline: Time,
    ) -> GatewayResponse {
        match reader::read_status(&self.store, shard, id).await {
            Ok(Some(status)) if !access.permits(status.account.as_ref()) => {
                return no_access(id, access);
            }
            Ok(Some(status)) if status.state.is_final() => return GatewayResponse::Cancelled,
            Ok(Some(_)) => {}
            Ok(None) => return GatewayResponse::NoSuchWorkflow,
            Err(error) => {
                tracing::warn!(request = %id, %error,
                    "cannot read a workflow to cancel; responding that the outcome is unknown");
                return GatewayResponse::Unknown;
            }
        }
        let written = self.write_to_inbox(shard, id, InboxEntry::Cancelled, true, deadline);
        match written.await {
            Ok(()) => GatewayResponse::Cancelled,
            Err(error) => {
                tracing::warn!(request = %id, %error,
                    "cannot write a cancellation to an inbox; responding that the outcome is unknown");
                GatewayResponse::Unknown
            }
        }
    }

    /// Counts the workflows of a queue that have not started any task.
    pub async fn pending(&self, queue: &QueueName, timeout: Duration) -> GatewayResponse {
        let deadline = self.now() + timeout.saturating_sub(RESPONSE_MARGIN);
        let Some(map) = self.electors.map() else {
            return GatewayResponse::Unknown;
        };
        let calls = map.shards().map(|shard| {
            let request = WorkflowRequest::Pending {
                shard,
                queue: queue.clone(),
            };
            self.call_owner(shard, request, deadline)
        });
        let mut total = 0;
        for reply in join_all(calls).await {
            match reply {
                Ok(WorkflowReply::Pending(count)) => total += count,
                other => {
                    tracing::warn!(%queue, owner_said = ?other,
                        "cannot count the pending workflows of a queue because a shard owner sends no \
                         count; responding that it is unknown");
                    return GatewayResponse::Unknown;
                }
            }
        }
        GatewayResponse::Pending(total)
    }

    /// Sends a request to the owner of the shard. Fails at once if the owner on another VM did not reply
    /// to the last request.
    async fn call_owner(
        &self,
        shard: ShardId,
        request: WorkflowRequest,
        deadline: Time,
    ) -> Result<WorkflowReply, OwnerCallError> {
        /// If the first VM no longer owns the shard, the owner that it names is tried.
        const MAX_TRIES: usize = 2;
        for _ in 0..MAX_TRIES {
            let timeout = time_left(deadline, self.now()).min(OWNER_TIMEOUT);
            let elector = self
                .electors
                .get(shard)
                .filter(|elector| elector.is_owner());
            if let Some(elector) = elector {
                return elector
                    .call_owner(&request, timeout)
                    .await
                    .ok_or(OwnerCallError::NoReply);
            }
            let owner = self.cluster.owner(shard).ok_or(OwnerCallError::NotSent)?;
            let address = owner.address;
            if address == self.cluster.local_address() || self.cluster.is_owner_unresponsive(shard)
            {
                return Err(OwnerCallError::NotSent);
            }
            let message = Request::Workflow(request.clone());
            match self.peers.call(address, &message, timeout).await {
                Ok(Reply::Workflow(WorkflowReply::NotOwner(hint))) => {
                    let hint = hint.filter(|hint| hint.epoch > owner.epoch);
                    let hint = hint.ok_or(OwnerCallError::NotSent)?;
                    self.cluster.set_owner(shard, hint);
                }
                Ok(Reply::Workflow(reply)) => return Ok(reply),
                Ok(other) => {
                    tracing::warn!(
                        ?other,
                        "unexpected reply from a shard owner; the outcome of the request is unknown"
                    );
                    return Err(OwnerCallError::NoReply);
                }
                Err(PeerError::NoReply(reason)) => {
                    tracing::debug!(reason, %address,
                        "a shard owner does not reply; marking it as unresponsive");
                    self.cluster.set_owner_responsive(shard, false);
                    return Err(OwnerCallError::NoReply);
                }
                Err(error) => {
                    tracing::debug!(%error, %address,
                        "cannot reach a shard owner; marking it as unresponsive");
                    self.cluster.set_owner_responsive(shard, false);
                    return Err(OwnerCallError::NotSent);
                }
            }
        }
        Err(OwnerCallError::NotSent)
    }

    fn owner_epoch(&self, shard: ShardId) -> u64 {
        self.cluster.owner(shard).map_or(0, |owner| owner.epoch)
    }
}

/// The response about a workflow of another account, which is as unknown to the caller as one that does
/// not exist.
fn no_access(id: WorkflowId, access: &Access) -> GatewayResponse {
    tracing::info!(request = %id, account = ?access.account(), rule = "workflow id",
        "a caller refers to a workflow of another account; responding that there is no such workflow");
    GatewayResponse::NoSuchWorkflow
}

fn time_left(deadline: Time, now: Time) -> Duration {
    deadline.since(now)
}

impl OwnerElector {
    /// Sends a request to the owner on this VM; `None` if there is no owner or no reply in time.
    pub(super) async fn call_owner(
        &self,
        request: &WorkflowRequest,
        timeout: Duration,
    ) -> Option<WorkflowReply> {
        let owner = self.owner()?;
        let request = OwnerRequest::from_request(request)?;
        let (tx, rx) = oneshot::channel();
        owner.tell(Event::Request(request, tx)).await.ok()?;
        tokio::time::timeout(timeout, rx).await.ok()?.ok()
    }
}
