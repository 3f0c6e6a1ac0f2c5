//! The service that says which workers may run a step.

use std::sync::Arc;
use std::time::Duration;

use super::BoxFuture;
use super::executor::{PermitError, Permits};
use crate::model::WorkerName;
use crate::workflow::StepId;

/// The service. It answers one question of a VM at a time.
pub trait PermitService: Send + Sync + 'static {
    /// Asks which of `workers` may run `step`, waiting up to `timeout`.
    ///
    /// # Errors
    ///
    /// Returns an error where there is no answer; the question may be asked again.
    fn request_permits<'a>(
        &'a self,
        step: StepId,
        workers: &'a [WorkerName],
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Permits, PermitError>>;
}

/// Shared access to the service.
pub type SharedPermitService = Arc<dyn PermitService>;
