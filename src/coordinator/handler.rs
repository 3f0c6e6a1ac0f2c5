//! Handles the requests of other VMs.

use std::sync::Arc;
use std::time::Duration;

use super::cluster_view::ClusterView;
use super::direct_store::DirectStore;
use super::event::Event;
use super::gateway::Gateway;
use super::message::{WorkflowReply, WorkflowRequest};
use super::shards::{OwnerElectors, ShardId};
use crate::error::Refusal;
use crate::message::{Reply, Request};
use crate::node::clock::Clock;
use crate::port::BoxFuture;
use crate::port::peer::PeerHandler;
use crate::port::permits::SharedPermitService;
use crate::port::record_store::StoreError;

/// The timeout for the owner's reply to another VM. That VM has its own, shorter timeout.
const OWNER_TIMEOUT: Duration = Duration::from_secs(3);

/// Handles the requests of other VMs about workflows.
pub(super) struct WorkflowHandler {
    pub(super) electors: Arc<OwnerElectors>,
    pub(super) gateway: Arc<Gateway>,
    pub(super) cluster: Arc<ClusterView>,
    /// The store without relays, so that a call is relayed at most once.
    pub(super) direct: Arc<DirectStore>,
    pub(super) permits: SharedPermitService,
    pub(super) clock: Clock,
}

impl WorkflowHandler {
    async fn reply_to(&self, request: WorkflowRequest) -> WorkflowReply {
        match request {
            WorkflowRequest::Ping {
                shard,
                member,
                config_version,
            } => {
                let now = self.clock.now();
                self.cluster.record_heartbeat(member, now);
                if !self
                    .electors
                    .get(shard)
                    .is_some_and(|elector| elector.is_owner())
                {
                    return WorkflowReply::NotOwner(self.cluster.owner(shard));
                }
                let newer = self.gateway.config();
                let newer = newer.filter(|config| config.queues().version > config_version);
                WorkflowReply::Pong {
                    members: self.cluster.live_members(now),
                    config: newer.map(|config| config.queues().clone()),
                }
            }
            WorkflowRequest::Submit { id, .. }
            | WorkflowRequest::State(id)
            | WorkflowRequest::Cancel(id)
            | WorkflowRequest::SubmitAs { id, .. }
            | WorkflowRequest::StateAs(id, _)
            | WorkflowRequest::CancelAs(id, _) => match self.electors.map() {
                Some(map) => self.call_local_owner(map.of_workflow(id), &request).await,
                None => WorkflowReply::NotOwner(None),
            },
            WorkflowRequest::Pending { shard, .. } => self.call_local_owner(shard, &request).await,
            WorkflowRequest::Store { call, timeout_ms } => {
                if self.direct.is_suspended() {
                    let reason = "the relaying VM has no direct access to the store";
                    return WorkflowReply::Store(Err(StoreError::NotDone(reason.to_owned())));
                }
                let timeout = Duration::from_millis(timeout_ms);
                WorkflowReply::Store(self.direct.call(&call, timeout).await)
            }
            WorkflowRequest::Permits {
                step,
                workers,
                timeout_ms,
            } => {
                let timeout = Duration::from_millis(timeout_ms);
                WorkflowReply::Permits(self.permits.request_permits(step, &workers, timeout).await)
            }
            WorkflowRequest::TakeOver { shard, epoch } => match self.electors.get(shard) {
                Some(elector) => {
                    elector.request_takeover(epoch);
                    WorkflowReply::Done
                }
                None => WorkflowReply::NotOwner(None),
            },
            WorkflowRequest::Exchange { from, to, message } => {
                let owner = self.electors.get(to).and_then(|elector| elector.owner());
                let Some(owner) = owner else {
                    return WorkflowReply::NotOwner(self.cluster.owner(to));
                };
                match owner.tell(Event::Exchange(from, message)).await {
                    Ok(()) => WorkflowReply::Done,
                    Err(_) => WorkflowReply::NotOwner(None),
                }
            }
        }
    }

    /// Forwards a request to the owner of the shard if it is on this VM.
    async fn call_local_owner(&self, shard: ShardId, request: &WorkflowRequest) -> WorkflowReply {
        match self
            .electors
            .get(shard)
            .filter(|elector| elector.is_owner())
        {
            Some(elector) => {
                let reply = elector.call_owner(request, OWNER_TIMEOUT).await;
                reply.unwrap_or(WorkflowReply::Unknown)
            }
            None => WorkflowReply::NotOwner(self.cluster.owner(shard)),
        }
    }
}

impl PeerHandler for WorkflowHandler {
    fn handle(&self, request: Request) -> BoxFuture<'_, Reply> {
        Box::pin(async move {
            match request {
                Request::Workflow(request) => Reply::Workflow(self.reply_to(request).await),
                _ => {
                    let reason = "this process runs workflows only";
                    Reply::Refused(Refusal::not_run("workflows_only", reason))
                }
            }
        })
    }
}
