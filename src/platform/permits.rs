//! The service that grants permits.

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

/// The service answers one question of a VM at a time, so more connections are of no use.
const MAX_CONNECTIONS: usize = 2;

/// The service over HTTP.
pub struct HttpPermitService {
    client: HttpClient,
}

impl HttpPermitService {
    /// The service at `address`.
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
            let failed = |error: &dyn std::fmt::Display| PermitError(error.to_string());
            let sent = http::post(&self.client, "/chestnutlug/advise", &[], &body, timeout).await;
            let answer = sent.map_err(|error| failed(&error))?;
            if !answer.status.is_success() {
                return Err(failed(&answer.status));
            }
            let advised: wire::Advised =
                serde_json::from_slice(&answer.body).map_err(|error| failed(&error))?;
            let permits = advised.granted.into_iter();
            Ok(Permits {
                granted: permits
                    .map(|(worker, token)| Permit {
                        worker: WorkerName::new(worker),
                        token,
                    })
                    .collect(),
                valid_ms: advised.valid_ms.max(0.0) as u64,
            })
        })
    }
}
