//! Handles the requests of other VMs.

use std::sync::Arc;

use super::context::NodeContext;
use super::job_router::JobRouter;
use super::operator_service::NodeOperatorService;
use crate::error::Refusal;
use crate::message::{Reply, Request};
use crate::port::BoxFuture;
use crate::port::peer::PeerHandler;

/// Handles the requests that other VMs send to one node.
pub struct NodeHandler {
    context: Arc<NodeContext>,
    jobs: Arc<JobRouter>,
    operator_service: Arc<NodeOperatorService>,
}

impl NodeHandler {
    /// Creates a handler for the node that `context` belongs to.
    pub fn new(
        context: Arc<NodeContext>,
        jobs: Arc<JobRouter>,
        operator_service: Arc<NodeOperatorService>,
    ) -> Self {
        Self {
            context,
            jobs,
            operator_service,
        }
    }

    async fn status(&self) -> Reply {
        let report = self.operator_service.own_report().await;
        match serde_json::to_string(&report) {
            Ok(text) => Reply::Status(text),
            Err(e) => Reply::Refused(Refusal::not_run("unwritable", e.to_string())),
        }
    }

    async fn handle_request(&self, request: Request) -> Reply {
        match request {
            Request::Exchange(digest) => {
                self.context.note_peer_config(&digest);
                Reply::Digest(self.context.digest(self.context.clock.now()).await)
            }
            Request::Submit { ref job, .. }
            | Request::Job { ref job, .. }
            | Request::Cancel { ref job }
            | Request::Explain { ref job }
            | Request::Part { part: ref job, .. } => {
                let shard = job.shard.clone();
                self.jobs.handle_peer_request(&shard, request).await
            }
            Request::Acquire { .. } | Request::Release { .. } | Request::HeldSlots { .. } => {
                self.context.slots.handle(request).await
            }
            Request::Config { above } => Reply::Config(self.context.config.newer_than(above)),
            Request::Status => self.status().await,
            Request::Workflow(_) => {
                let reason = "this process does not run workflows";
                Reply::Refused(Refusal::not_run("no_workflows", reason))
            }
        }
    }
}

impl PeerHandler for NodeHandler {
    fn handle(&self, request: Request) -> BoxFuture<'_, Reply> {
        Box::pin(self.handle_request(request))
    }
}
