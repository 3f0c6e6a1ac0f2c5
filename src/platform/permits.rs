//! The platform's permit service.

use std::net::SocketAddr;
use std::time::Duration;

use super::http;
use super::wire;
use crate::adapter::http::HttpClient;
use crate::model::WorkerName;
use crate::port::BoxFuture;
use crate::port::executor::{Permit, PermitError, Permits};
use crate::port::permits::PermitService;
use crate::workflow::StepId;

/// The service handles one request of a VM at a time, so more connections would not help.
const MAX_CONNECTIONS: usize = 2;

/// Sends permit requests over HTTP.
pub struct HttpPermitService {
    client: HttpClient,
}

impl HttpPermitService {
    /// A client for the service at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: HttpClient::new(address, MAX_CONNECTIONS),
        }
    }
}

impl PermitService for HttpPermitService {
    fn request_permits<'a>(
        &'a self,
        step: StepId,
        workers: &'a [WorkerName],
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Permits, PermitError>> {
        Box::pin(async move {
            let body = wire::Advise {
                phase: step.to_string(),
                workers: workers.iter().map(WorkerName::as_str).collect(),
            };
            let permit_error = |error: &dyn std::fmt::Display| PermitError(error.to_string());
            let sent = http::post(&self.client, "/chestnutlug/advise", &[], &body, timeout).await;
            let response = sent.map_err(|error| permit_error(&error))?;
            if !response.status.is_success() {
                return Err(permit_error(&response.status));
            }
            let advice: wire::AdviseResponse =
                serde_json::from_slice(&response.body).map_err(|error| permit_error(&error))?;
            let permits = advice.granted.into_iter();
            Ok(Permits {
                granted: permits
                    .map(|(worker, token)| Permit {
                        worker: WorkerName::new(worker),
                        token,
                    })
                    .collect(),
                valid_ms: advice.valid_ms.max(0.0) as u64,
            })
        })
    }
}
