//! The interface through which a node controls the granting of service slots.

use crate::config::CellConfig;
use crate::message::{Reply, Request};
use crate::model::ServiceName;
use crate::port::BoxFuture;

/// Grants the slots of the services that this node owns.
pub trait SlotGranter: Send + Sync + 'static {
    /// Starts granting slots of a service that this node owns under `epoch`.
    fn start_granting(&self, service: &ServiceName, epoch: u64);

    /// Stops granting slots of a service.
    fn stop_granting(&self, service: &ServiceName);

    /// Applies a configuration.
    fn configure(&self, cfg: &CellConfig);

    /// Sets the names of the VMs and backend servers that the platform lists as leaving.
    fn set_leaving(&self, leaving: &[String]);

    /// The number of requests that wait on this node for a slot of `service`.
    fn waiting_requests(&self, service: &ServiceName) -> u64;

    /// The number of slots of `service` that this node has granted.
    fn granted_slots(&self, service: &ServiceName) -> u64;

    /// Handles a request about slots.
    fn handle(&self, request: Request) -> BoxFuture<'_, Reply>;
}
