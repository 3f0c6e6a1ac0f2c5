//! What membership tells the keeper of services' slots.

use crate::config::CellConfig;
use crate::message::{Reply, Request};
use crate::model::ServiceName;
use crate::port::BoxFuture;

/// Keeps the slots of the services that this node owns.
pub trait SlotGranter: Send + Sync + 'static {
    /// Takes over the slots of a service under `epoch`.
    fn start_granting(&self, service: &ServiceName, epoch: u64);

    /// Grants no more slots of a service.
    fn stop_granting(&self, service: &ServiceName);

    /// Takes a configuration into force.
    fn configure(&self, cfg: &CellConfig);

    /// Takes the names of VMs and backend servers that the platform lists as leaving.
    fn set_leaving(&self, leaving: &[String]);

    /// How many requests wait for a slot of `service` here.
    fn waiting_requests(&self, service: &ServiceName) -> u64;

    /// How many slots of `service` are granted.
    fn granted_slots(&self, service: &ServiceName) -> u64;

    /// Answers a request about slots.
    fn handle(&self, request: Request) -> BoxFuture<'_, Reply>;
}
