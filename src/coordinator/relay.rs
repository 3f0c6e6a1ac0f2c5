//! Access to the store that relays calls through other VMs while direct access fails.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::availability::StoreAvailability;
use super::cluster_view::ClusterView;
use super::direct_store::DirectStore;
use super::message::{WorkflowReply, WorkflowRequest};
use crate::message::{Reply, Request};
use crate::node::clock::Clock;
use crate::port::BoxFuture;
use crate::port::peer::SharedPeerClient;
use crate::port::record_store::{RecordStore, StoreCall, StoreError, StoreReply};

/// The maximum number of VMs through which one call is relayed. Several may be cut off from the store as
/// well; those that know it say so at once.
const MAX_RELAYS: usize = 4;

/// A call is relayed through further VMs for at most this many times its timeout.
const MAX_TIMEOUTS: u32 = 2;

/// The maximum time, in milliseconds, for which the store may wait for a change in a relayed call. The
/// call occupies one of the relaying VM's contexts for peers meanwhile.
const MAX_RELAYED_WAIT_MS: u32 = 500;

/// Added to the timeout of a relayed call for the network latency between the two VMs.
const RELAY_MARGIN: Duration = Duration::from_millis(100);

/// Calls the store directly, or relays calls through other VMs while direct access fails.
pub struct RelayedRecordStore {
    direct: Arc<DirectStore>,
    peers: SharedPeerClient,
    cluster: Arc<ClusterView>,
    clock: Clock,
    availability: Arc<StoreAvailability>,
}

impl RelayedRecordStore {
    /// Makes calls through `direct`, and relays them through the members of `cluster` while that fails.
    /// Their results are recorded in `availability`.
    pub fn new(
        direct: Arc<DirectStore>,
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
        }
    }

    async fn call_or_relay(
        &self,
        call: &StoreCall,
        timeout: Duration,
    ) -> Result<StoreReply, StoreError> {
        if !self.direct.is_suspended() || self.cluster.relays(1).is_empty() {
            match self.direct.call(call, timeout).await {
                result @ (Ok(_) | Err(StoreError::Rejected(_))) => return result,
                // Only the caller knows how to retry a transaction whose outcome is unknown.
                Err(error @ StoreError::Unknown(_)) if matches!(call, StoreCall::Commit(_)) => {
                    return Err(error);
                }
                Err(_) => {}
            }
        }
        self.relay(call, timeout).await
    }

    /// Relays a call through other VMs, one after the other, until one succeeds.
    async fn relay(&self, call: &StoreCall, timeout: Duration) -> Result<StoreReply, StoreError> {
        let mut last_error = StoreError::NotDone("no other VM is known".to_owned());
        let deadline = self.clock.now() + timeout * MAX_TIMEOUTS;
        for address in self.cluster.relays(MAX_RELAYS) {
            if self.clock.now() >= deadline {
                break;
            }
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
