//! The cell whose path is measured, and the routes of the measuring client.

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
const PATH: &str = "/v1/services/rota-service/swap";

/// The most connections of the measuring client to one backend server; entry VMs use the rest.
const DIRECT_CONNECTIONS: usize = 8;

/// The most connections of the measuring client to one VM.
const VM_CONNECTIONS: usize = 256;

/// How long the cell may take to serve its first request.
const START_TIME: Duration = Duration::from_secs(20);

/// The time between two tries of a first request.
const RETRY_TIME: Duration = Duration::from_millis(50);

/// A running cell.
pub(super) struct Cell(LocalCell);

impl Cell {
    /// Starts a cell and waits until each VM serves requests.
    pub(super) async fn start() -> Result<Self> {
        let shape = CellOptions {
            backends: 10,
            ..CellOptions::default()
        };
        let cell = Self(LocalCell::start(&shape).await?);
        let begun = Instant::now();
        for route in cell.routes().1 {
            wait_until_served(&route, begun).await?;
        }
        Ok(cell)
    }

    /// The routes to the backend servers, and those through the VMs.
    pub(super) fn routes(&self) -> (Vec<Route>, Vec<Route>) {
        let service = SERVICE.into();
        let backends = self.0.backend_addresses(&service);
        let direct = backends.map(|address| Route {
            client: Arc::new(HttpClient::new(address, DIRECT_CONNECTIONS)),
            path: "/swap",
        });
        let through = self.0.vms().map(|vm| Route {
            client: Arc::new(HttpClient::new(vm.caller_address(), VM_CONNECTIONS)),
            path: PATH,
        });
        (direct.collect(), through.collect())
    }

    /// The index of the VM that owns the service.
    pub(super) fn owner(&self) -> Option<usize> {
        let shard = service_shard(&SERVICE.into());
        self.0.vms().position(|vm| vm.owns(&shard))
    }

    /// Sets whether VMs keep slots for further requests.
    pub(super) fn set_reuse(&self, reuse: bool) {
        for vm in self.0.vms() {
            vm.slots().set_reuse(reuse);
        }
    }

    /// Stops everything.
    pub(super) async fn stop(self) {
        self.0.stop().await;
    }
}

async fn wait_until_served(route: &Route, begun: Instant) -> Result<()> {
    loop {
        let body = Bytes::new();
        let answer = route
            .client
            .call(Method::POST, route.path, body, START_TIME);
        if answer.await.is_ok_and(|answer| answer.status.is_success()) {
            return Ok(());
        }
        if begun.elapsed() > START_TIME {
            return Err(Error::Other("the cell serves no requests".to_owned()));
        }
        tokio::time::sleep(RETRY_TIME).await;
    }
}
