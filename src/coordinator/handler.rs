//! Answers other VMs.

use std::sync::Arc;
use std::time::Duration;

use super::directory::Directory;
use super::gateway::Gateway;
use super::message::{Ask, Told};
use super::shards::{Seats, Shard};
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
    pub(super) seats: Arc<Seats>,
    pub(super) gateway: Arc<Gateway>,
    pub(super) directory: Arc<Directory>,
    /// The store, directly: a call is relayed once.
    pub(super) direct: SharedRecordStore,
    pub(super) permits: SharedPermitService,
    pub(super) clock: Clock,
}

impl WorkflowHandler {
    async fn answer(&self, ask: Ask) -> Told {
        match ask {
            Ask::Ping {
                shard,
                member,
                config_version,
            } => {
                let now = self.clock.now();
                self.directory.heard(member, now);
                if !self.seats.get(shard).is_some_and(|seat| seat.is_owner()) {
                    return Told::NotOwner(self.directory.owner(shard));
                }
                let config = self.gateway.config();
                let newer = config.as_ref().as_ref();
                let newer = newer.filter(|config| config.version > config_version);
                Told::Pong {
                    members: self.directory.heard_members(now),
                    config: newer.cloned(),
                }
            }
            Ask::Submit { id, .. } | Ask::State(id) | Ask::Cancel(id) => match self.seats.map() {
                Some(map) => self.ask_owner(map.of_workflow(id), &ask).await,
                None => Told::NotOwner(None),
            },
            Ask::Pending { shard, .. } => self.ask_owner(shard, &ask).await,
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
                Told::Permits(self.permits.request_permits(step, &workers, timeout).await)
            }
            Ask::TakeOver { shard, epoch } => match self.seats.get(shard) {
                Some(seat) => {
                    seat.follow_now(epoch);
                    Told::Done
                }
                None => Told::NotOwner(None),
            },
        }
    }

    /// Asks the owner of the shard, if it is on this VM.
    async fn ask_owner(&self, shard: Shard, ask: &Ask) -> Told {
        match self.seats.get(shard).filter(|seat| seat.is_owner()) {
            Some(seat) => {
                let told = seat.ask(ask, OWNER_TIMEOUT).await;
                told.unwrap_or(Told::Unknown)
            }
            None => Told::NotOwner(self.directory.owner(shard)),
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
