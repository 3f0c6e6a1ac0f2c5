//! The measured cell, and the routes of the measuring client.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Method;

use super::load::Route;
use crate::adapter::http::HttpClient;
use crate::config::service_shard;
use crate::error::{Error, Result};
use crate::local::cell::{CellOptions, LocalCell};

const SERVICE: &str = "rota-service";
const SERVICE_PATH: &str = "/v1/services/rota-service/swap";

/// Maximum number of connections of the measuring client to one backend server; the entry VMs use
/// the rest.
const MAX_CONNECTIONS_PER_BACKEND: usize = 8;

/// Maximum number of connections of the measuring client to one VM.
const MAX_CONNECTIONS_PER_VM: usize = 256;

/// Maximum time until all VMs serve requests.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Delay before a failed first request to a VM is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// A running cell.
pub(super) struct PathCell(LocalCell);

impl PathCell {
    /// Starts a cell and waits until all VMs serve requests.
    pub(super) async fn start() -> Result<Self> {
        let options = CellOptions {
            backends: 10,
            ..CellOptions::default()
        };
        let cell = Self(LocalCell::start(&options).await?);
        let start = Instant::now();
        for route in cell.routes().1 {
            wait_until_served(&route, start).await?;
        }
        Ok(cell)
    }

    /// Routes directly to the backend servers, and routes through the VMs.
    pub(super) fn routes(&self) -> (Vec<Route>, Vec<Route>) {
        let service = SERVICE.into();
        let backends = self.0.backend_addresses(&service);
        let direct = backends.map(|address| Route {
            client: Arc::new(HttpClient::new(address, MAX_CONNECTIONS_PER_BACKEND)),
            path: "/swap",
        });
        let through_vms = self.0.vms().map(|vm| Route {
            client: Arc::new(HttpClient::new(vm.caller_address(), MAX_CONNECTIONS_PER_VM)),
            path: SERVICE_PATH,
        });
        (direct.collect(), through_vms.collect())
    }

    /// Index of the VM that owns the shard of the service.
    pub(super) fn owner_index(&self) -> Option<usize> {
        let shard = service_shard(&SERVICE.into());
        self.0.vms().position(|vm| vm.owns(&shard))
    }

    /// Sets whether VMs keep a slot after a request and reuse it for further requests.
    pub(super) fn set_reuse(&self, reuse: bool) {
        for vm in self.0.vms() {
            vm.slots().set_reuse(reuse);
        }
    }

    /// Stops the cell.
    pub(super) async fn stop(self) {
        self.0.stop().await;
    }
}

async fn wait_until_served(route: &Route, start: Instant) -> Result<()> {
    loop {
        let body = Bytes::new();
        let response = route
            .client
            .call(Method::POST, route.path, body, START_TIMEOUT);
        if response
            .await
            .is_ok_and(|response| response.status.is_success())
        {
            return Ok(());
        }
        if start.elapsed() > START_TIMEOUT {
            return Err(Error::Other(
                "a VM of the local cell did not serve requests in time".to_owned(),
            ));
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}
