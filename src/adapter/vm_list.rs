//! The client of the platform's list of VMs over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;

use super::http::HttpClient;
use super::table::call_platform;
use super::traffic::TrafficCounter;
use crate::port::BoxFuture;
use crate::port::table::TableError;
use crate::port::vm_list::{ListedVm, VmList};

/// A [`VmList`] over HTTP.
pub struct HttpVmList {
    client: HttpClient,
    timeout: Duration,
}

impl HttpVmList {
    /// Creates a client of the list at `address`. Each call ends within `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client: HttpClient::new(address, 1),
            timeout,
        }
    }

    /// Counts the bytes and exchanges of the connections in `traffic`.
    #[must_use]
    pub fn with_traffic(mut self, traffic: Arc<TrafficCounter>) -> Self {
        self.client = self.client.with_traffic(traffic);
        self
    }
}

impl VmList for HttpVmList {
    fn list(&self) -> BoxFuture<'_, Result<Vec<ListedVm>, TableError>> {
        let empty = Bytes::new();
        Box::pin(call_platform(
            &self.client,
            Method::GET,
            "/vms",
            empty,
            self.timeout,
        ))
    }
}
