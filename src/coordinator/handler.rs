//! Answers other VMs.

use std::sync::Arc;
use std::time::Duration;

use super::cluster_view::ClusterView;
use super::gateway::Gateway;
use super::message::{WorkflowReply, WorkflowRequest};
use super::shards::{OwnerElectors, ShardId};
use crate::error::Refusal;
use crate::message::{Reply, Request};
use crate::node::clock::Clock;
use crate::port::BoxFuture;
use crate::port::peer::PeerHandler;
use crate::port::permits::SharedPermitService;
use crate::port::record_store::SharedRecordStore;

/// How long the owner may take for what another VM asks; that VM has its own, shorter limit.
const OWNER_TIMEOUT: Duration = Duration::from_secs(3);

/// Answers other VMs about workflows.
pub(super) struct WorkflowHandler {
    pub(super) seats: Arc<OwnerElectors>,
    pub(super) gateway: Arc<Gateway>,
    pub(super) directory: Arc<ClusterView>,
    /// The store, directly: a call is relayed once.
    pub(super) direct: SharedRecordStore,
    pub(super) permits: SharedPermitService,
    pub(super) clock: Clock,
}

impl WorkflowHandler {
    async fn answer(&self, ask: WorkflowRequest) -> WorkflowReply {
        match ask {
            WorkflowRequest::Ping {
                shard,
                member,
                config_version,
            } => {
                let now = self.clock.now();
                self.directory.record_heartbeat(member, now);
                if !self.seats.get(shard).is_some_and(|seat| seat.is_owner()) {
                    return WorkflowReply::NotOwner(self.directory.owner(shard));
                }
                let config = self.gateway.config();
                let newer = config.as_ref().as_ref();
                let newer = newer.filter(|config| config.version > config_version);
                WorkflowReply::Pong {
                    members: self.directory.live_members(now),
                    config: newer.cloned(),
                }
            }
            WorkflowRequest::Submit { id, .. }
            | WorkflowRequest::State(id)
            | WorkflowRequest::Cancel(id) => match self.seats.map() {
                Some(map) => self.ask_owner(map.of_workflow(id), &ask).await,
                None => WorkflowReply::NotOwner(None),
            },
            WorkflowRequest::Pending { shard, .. } => self.ask_owner(shard, &ask).await,
            WorkflowRequest::Store { call, timeout_ms } => {
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
            WorkflowRequest::TakeOver { shard, epoch } => match self.seats.get(shard) {
                Some(seat) => {
                    seat.follow_now(epoch);
                    WorkflowReply::Done
                }
                None => WorkflowReply::NotOwner(None),
            },
        }
    }

    /// Asks the owner of the shard, if it is on this VM.
    async fn ask_owner(&self, shard: ShardId, ask: &WorkflowRequest) -> WorkflowReply {
        match self.seats.get(shard).filter(|seat| seat.is_owner()) {
            Some(seat) => {
                let told = seat.ask(ask, OWNER_TIMEOUT).await;
                told.unwrap_or(WorkflowReply::Unknown)
            }
            None => WorkflowReply::NotOwner(self.directory.owner(shard)),
        }
    }
}

impl PeerHandler for WorkflowHandler {
    fn handle(&self, request: Request) -> BoxFuture<'_, Reply> {
        Box::pin(async move {
            match request {
                Request::Workflow(ask) => Reply::Workflow(self.answer(ask).await),
                _ => {
                    let reason = "this process runs workflows only";
                    Reply::Refused(Refusal::not_run("workflows_only", reason))
                }
            }
        })
    }
}
