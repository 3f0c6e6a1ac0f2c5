//! Access to the store that relays calls through other VMs while direct access fails.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use super::availability::StoreAvailability;
use super::cluster_view::ClusterView;
use super::message::{WorkflowReply, WorkflowRequest};
use crate::message::{Reply, Request};
use crate::model::Time;
use crate::node::clock::Clock;
use crate::port::BoxFuture;
use crate::port::peer::SharedPeerClient;
use crate::port::record_store::{
    RecordStore, SharedRecordStore, StoreCall, StoreError, StoreReply,
};

/// How long calls are relayed after a failed direct call, before direct access is tried again.
const DIRECT_ACCESS_BACKOFF: Duration = Duration::from_millis(1_000);

/// The maximum number of VMs through which one call is relayed.
const MAX_RELAYS: usize = 2;

/// The maximum time, in milliseconds, for which the store may wait for a change in a relayed call. The
/// call occupies one of the relaying VM's contexts for peers meanwhile.
const MAX_RELAYED_WAIT_MS: u32 = 500;

/// Added to the timeout of a relayed call for the network latency between the two VMs.
const RELAY_MARGIN: Duration = Duration::from_millis(100);

/// Whether this VM calls the store directly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DirectAccess {
    Enabled,
    SuspendedUntil(Time),
}

/// Calls the store directly, or relays calls through other VMs while direct access fails.
pub struct RelayedRecordStore {
    direct: SharedRecordStore,
    peers: SharedPeerClient,
    cluster: Arc<ClusterView>,
    clock: Clock,
    availability: Arc<StoreAvailability>,
    direct_access: Mutex<DirectAccess>,
}

impl RelayedRecordStore {
    /// Makes calls through `direct`, and relays them through the members of `cluster` while that fails.
    /// Their results are recorded in `availability`.
    pub fn new(
        direct: SharedRecordStore,
        peers: SharedPeerClient,
        cluster: Arc<ClusterView>,
        clock: Clock,
        availability: Arc<StoreAvailability>,
    ) -> Self {
        Self {
            direct,
            peers,
            cluster,
            clock,
            availability,
            direct_access: Mutex::new(DirectAccess::Enabled),
        }
    }

    async fn call_or_relay(
        &self,
        call: &StoreCall,
        timeout: Duration,
    ) -> Result<StoreReply, StoreError> {
        let now = self.clock.now();
        let suspended = matches!(*self.lock(), DirectAccess::SuspendedUntil(until) if now < until);
        if !suspended {
            match self.direct.call(call, timeout).await {
                Ok(reply) => {
                    self.set_direct_access(DirectAccess::Enabled, "");
                    return Ok(reply);
                }
                Err(error @ StoreError::Rejected(_)) => return Err(error),
                Err(error) => {
                    // A read of a feed also fails when the store truncates its history, which does not
                    // affect other calls.
                    if !matches!(call, StoreCall::Changes { .. }) {
                        let until = self.clock.now() + DIRECT_ACCESS_BACKOFF;
                        self.set_direct_access(
                            DirectAccess::SuspendedUntil(until),
                            &error.to_string(),
                        );
                    }
                    // Only the caller knows how to retry a transaction whose outcome is unknown.
                    let is_commit = matches!(call, StoreCall::Commit(_));
                    if is_commit && matches!(error, StoreError::Unknown(_)) {
                        return Err(error);
                    }
                }
            }
        }
        self.relay(call, timeout).await
    }

    /// Relays a call through other VMs, one after the other, until one succeeds.
    async fn relay(&self, call: &StoreCall, timeout: Duration) -> Result<StoreReply, StoreError> {
        let mut last_error = StoreError::NotDone("no other VM is known".to_owned());
        for address in self.cluster.relays(MAX_RELAYS) {
            match self.relay_through(address, call, timeout).await {
                Ok(reply) => return Ok(reply),
                Err(error @ StoreError::Rejected(_)) => return Err(error),
                Err(error) => {
                    self.cluster.relay_failed(address);
                    let is_commit = matches!(call, StoreCall::Commit(_));
                    if is_commit && matches!(error, StoreError::Unknown(_)) {
                        return Err(error);
                    }
                    last_error = error;
                }
            }
        }
        Err(last_error)
    }

    async fn relay_through(
        &self,
        address: SocketAddr,
        call: &StoreCall,
        timeout: Duration,
    ) -> Result<StoreReply, StoreError> {
        let mut call = call.clone();
        let mut peer_timeout = timeout + RELAY_MARGIN;
        if let StoreCall::Changes { wait_ms, .. } = &mut call {
            *wait_ms = (*wait_ms).min(MAX_RELAYED_WAIT_MS);
            peer_timeout += Duration::from_millis(u64::from(*wait_ms));
        }
        let timeout_ms = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
        let request = Request::Workflow(WorkflowRequest::Store { call, timeout_ms });
        match self.peers.call(address, &request, peer_timeout).await {
            Ok(Reply::Workflow(WorkflowReply::Store(result))) => result,
            Ok(other) => Err(StoreError::NotDone(format!(
                "an unexpected reply: {other:?}"
            ))),
            Err(crate::port::peer::PeerError::NoReply(reason)) => Err(StoreError::Unknown(reason)),
            Err(error) => Err(StoreError::NotDone(error.to_string())),
        }
    }

    fn set_direct_access(&self, access: DirectAccess, reason: &str) {
        let previous = std::mem::replace(&mut *self.lock(), access);
        match (previous, access) {
            (DirectAccess::Enabled, DirectAccess::SuspendedUntil(_)) => {
                tracing::warn!(
                    reason,
                    "direct access to the store fails; relaying calls through other VMs"
                );
            }
            (DirectAccess::SuspendedUntil(_), DirectAccess::Enabled) => {
                tracing::info!("direct access to the store works again")
            }
            _ => {}
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, DirectAccess> {
        self.direct_access
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl RecordStore for RelayedRecordStore {
    fn call<'a>(
        &'a self,
        call: &'a StoreCall,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<StoreReply, StoreError>> {
        Box::pin(async move {
            let result = self.call_or_relay(call, timeout).await;
            match &result {
                Ok(_) => self.availability.record_success(),
                // A read of a feed also fails when the store truncates its history.
                Err(_) if matches!(call, StoreCall::Changes { .. }) => {}
                Err(StoreError::Rejected(_)) => {}
                Err(_) => self.availability.record_failure(self.clock.now()),
            }
            result
        })
    }
}
