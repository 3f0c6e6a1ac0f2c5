//! Answers other VMs.

use std::sync::Arc;
use std::time::Duration;

use super::directory::Directory;
use super::gateway::Gateway;
use super::message::{Ask, Told};
use super::seat::Seat;
use crate::error::Refusal;
use crate::message::{Reply, Request};
use crate::node::clock::Clock;
use crate::port::BoxFuture;
use crate::port::peer::PeerHandler;
use crate::port::permits::SharedPermits;
use crate::port::records::SharedRecords;

/// How long the owner may take for what another VM asks; that VM has its own, shorter limit.
const OWNER_TIMEOUT: Duration = Duration::from_secs(3);

/// Answers other VMs about workflows.
pub(super) struct WorkflowHandler {
    pub(super) seat: Arc<Seat>,
    pub(super) gateway: Arc<Gateway>,
    pub(super) directory: Arc<Directory>,
    /// The store, directly: a call is relayed once.
    pub(super) direct: SharedRecords,
    pub(super) permits: SharedPermits,
    pub(super) clock: Clock,
}

impl WorkflowHandler {
    async fn answer(&self, ask: Ask) -> Told {
        match ask {
            Ask::Ping {
                member,
                config_version,
            } => {
                let now = self.clock.now();
                self.directory.heard(member, now);
                if !self.seat.is_owner() {
                    return Told::NotOwner(self.directory.owner());
                }
                let config = self.gateway.config();
                let newer = config.as_ref().as_ref();
                let newer = newer.filter(|config| config.version > config_version);
                Told::Pong {
                    members: self.directory.members(now),
                    config: newer.cloned(),
                }
            }
            Ask::Submit { .. } | Ask::State(_) | Ask::Cancel(_) | Ask::Pending(_) => {
                if !self.seat.is_owner() {
                    return Told::NotOwner(self.directory.owner());
                }
                let told = self.seat.ask(&ask, OWNER_TIMEOUT).await;
                told.unwrap_or(Told::Unknown)
            }
            Ask::Store { call, timeout_ms } => {
                let timeout = Duration::from_millis(timeout_ms);
                Told::Store(self.direct.call(&call, timeout).await)
            }
            Ask::Permits {
                step,
                workers,
                timeout_ms,
            } => {
                let timeout = Duration::from_millis(timeout_ms);
                Told::Permits(self.permits.ask(step, &workers, timeout).await)
            }
            Ask::TakeOver { epoch } => {
                self.seat.follow_now(epoch);
                Told::Done
            }
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
