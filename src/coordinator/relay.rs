//! The store, also through other VMs while it turns this one away.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use super::cluster_view::ClusterView;
use super::message::{WorkflowReply, WorkflowRequest};
use crate::message::{Reply, Request};
use crate::model::Time;
use crate::node::clock::Clock;
use crate::port::BoxFuture;
use crate::port::peer::SharedPeers;
use crate::port::record_store::{
    RecordStore, SharedRecordStore, StoreCall, StoreError, StoreReply,
};

/// After a failed call other VMs are asked first for so long.
const AVOID: Duration = Duration::from_millis(1_000);

/// How many other VMs are asked for one call.
const MAX_RELAYS: usize = 2;

/// The longest that the store may wait in a call for another VM, which holds one of that VM's
/// contexts for peers meanwhile.
const MAX_RELAYED_WAIT_MS: u32 = 500;

/// Added to the timeout of a relayed call for the way between two VMs.
const RELAY_MARGIN: Duration = Duration::from_millis(100);

/// How far this VM's own way to the store can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Open,
    AvoidedUntil(Time),
}

/// Calls the store directly, or through other VMs while that fails.
pub struct RelayedRecordStore {
    direct: SharedRecordStore,
    peers: SharedPeers,
    directory: Arc<ClusterView>,
    clock: Clock,
    way: Mutex<Way>,
}

impl RelayedRecordStore {
    /// Relays for `direct` through the members of `directory`.
    pub fn new(
        direct: SharedRecordStore,
        peers: SharedPeers,
        directory: Arc<ClusterView>,
        clock: Clock,
    ) -> Self {
        Self {
            direct,
            peers,
            directory,
            clock,
            way: Mutex::new(Way::Open),
        }
    }

    async fn make(&self, call: &StoreCall, timeout: Duration) -> Result<StoreReply, StoreError> {
        let now = self.clock.now();
        let avoided = matches!(*self.lock(), Way::AvoidedUntil(until) if now < until);
        if !avoided {
            match self.direct.call(call, timeout).await {
                Ok(reply) => {
                    self.set_way(Way::Open, "");
                    return Ok(reply);
                }
                Err(error @ StoreError::Rejected(_)) => return Err(error),
                Err(error) => {
                    // A feed also breaks where the store cuts its history, which says nothing about
                    // other calls.
                    if !matches!(call, StoreCall::Changes { .. }) {
                        let until = self.clock.now() + AVOID;
                        self.set_way(Way::AvoidedUntil(until), &error.to_string());
                    }
                    // A transaction whose effect is open is repeated only by who knows how.
                    let is_commit = matches!(call, StoreCall::Commit(_));
                    if is_commit && matches!(error, StoreError::Unknown(_)) {
                        return Err(error);
                    }
                }
            }
        }
        self.through_peers(call, timeout).await
    }

    async fn through_peers(
        &self,
        call: &StoreCall,
        timeout: Duration,
    ) -> Result<StoreReply, StoreError> {
        let mut last = StoreError::NotDone("no other VM is known".to_owned());
        for address in self.directory.relays(MAX_RELAYS) {
            match self.through(address, call, timeout).await {
                Ok(reply) => return Ok(reply),
                Err(error @ StoreError::Rejected(_)) => return Err(error),
                Err(error) => {
                    self.directory.relay_failed(address);
                    let is_commit = matches!(call, StoreCall::Commit(_));
                    if is_commit && matches!(error, StoreError::Unknown(_)) {
                        return Err(error);
                    }
                    last = error;
                }
            }
        }
        Err(last)
    }

    async fn through(
        &self,
        address: SocketAddr,
        call: &StoreCall,
        timeout: Duration,
    ) -> Result<StoreReply, StoreError> {
        let mut call = call.clone();
        let mut limit = timeout + RELAY_MARGIN;
        if let StoreCall::Changes { wait_ms, .. } = &mut call {
            *wait_ms = (*wait_ms).min(MAX_RELAYED_WAIT_MS);
            limit += Duration::from_millis(u64::from(*wait_ms));
        }
        let timeout_ms = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
        let request = Request::Workflow(WorkflowRequest::Store { call, timeout_ms });
        match self.peers.call(address, &request, limit).await {
            Ok(Reply::Workflow(WorkflowReply::Store(answer))) => answer,
            Ok(other) => Err(StoreError::NotDone(format!(
                "an unexpected reply: {other:?}"
            ))),
            Err(crate::port::peer::PeerError::NoReply(reason)) => Err(StoreError::Unknown(reason)),
            Err(error) => Err(StoreError::NotDone(error.to_string())),
        }
    }

    fn set_way(&self, way: Way, reason: &str) {
        let before = std::mem::replace(&mut *self.lock(), way);
        match (before, way) {
            (Way::Open, Way::AvoidedUntil(_)) => {
                tracing::warn!(reason, "the store does not serve this VM; others are asked");
            }
            (Way::AvoidedUntil(_), Way::Open) => tracing::info!("the store serves this VM again"),
            _ => {}
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Way> {
        self.way.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RecordStore for RelayedRecordStore {
    fn call<'a>(
        &'a self,
        call: &'a StoreCall,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<StoreReply, StoreError>> {
        Box::pin(self.make(call, timeout))
    }
}
