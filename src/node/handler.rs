//! Answers other VMs.

use std::sync::Arc;

use super::jobs::NodeJobs;
use super::shared::Shared;
use super::view::NodeView;
use crate::error::Refusal;
use crate::message::{Reply, Request};
use crate::port::BoxFuture;
use crate::port::peer::PeerHandler;

/// Answers other VMs for one node.
pub struct NodeHandler {
    shared: Arc<Shared>,
    jobs: Arc<NodeJobs>,
    view: Arc<NodeView>,
}

impl NodeHandler {
    /// A handler for the node that `shared` belongs to.
    pub fn new(shared: Arc<Shared>, jobs: Arc<NodeJobs>, view: Arc<NodeView>) -> Self {
        Self { shared, jobs, view }
    }

    async fn status(&self) -> Reply {
        let report = self.view.own_report().await;
        match serde_json::to_string(&report) {
            Ok(text) => Reply::Status(text),
            Err(e) => Reply::Refused(Refusal::not_run("unwritable", e.to_string())),
        }
    }

    async fn answer(&self, request: Request) -> Reply {
        match request {
            Request::Exchange(digest) => {
                self.shared.note_peer_config(&digest);
                Reply::Digest(self.shared.digest(self.shared.clock.now()).await)
            }
            Request::Submit { ref job, .. }
            | Request::Job { ref job, .. }
            | Request::Cancel { ref job }
            | Request::Explain { ref job }
            | Request::Part { part: ref job, .. } => {
                let shard = job.shard.clone();
                self.jobs.answer_peer(&shard, request).await
            }
            Request::Acquire { .. } | Request::Release { .. } | Request::HeldSlots { .. } => {
                self.shared.services.handle(request).await
            }
            Request::Config { above } => Reply::Config(self.shared.config.above(above)),
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
        Box::pin(self.answer(request))
    }
}
