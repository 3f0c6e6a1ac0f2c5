//! The service that grants permits to run steps on workers.

use std::sync::Arc;
use std::time::Duration;

use super::BoxFuture;
use super::executor::{PermitError, Permits};
use crate::model::WorkerName;
use crate::workflow::StepId;

/// The permit service. It handles one request of each VM at a time.
pub trait PermitService: Send + Sync + 'static {
    /// Requests permits to run `step` on `workers`, and waits up to `timeout` for the response.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no usable response; the request may be repeated.
    fn request_permits<'a>(
        &'a self,
        step: StepId,
        workers: &'a [WorkerName],
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Permits, PermitError>>;
}

/// Shared access to the permit service.
pub type SharedPermitService = Arc<dyn PermitService>;
