//! Checks of callers' requests against the client accounts of the configuration.

use std::time::Duration;

use super::current_config::ConfigInForce;
use super::gateway::Gateway;
use super::reader;
use super::shards::ShardId;
use crate::metrics::Counter;
use crate::workflow::{Access, LimitError, QueueRoute, WorkflowId, WorkflowSpec};

/// The timeout for reading from the store whose workflow an id is. A slow store responds within this time,
/// and most of the time of the caller is left.
const READ_TIMEOUT: Duration = Duration::from_millis(250);

impl Gateway {
    /// The access of a call on `route` with this key. A call whose key is missing or unknown gets `None`;
    /// it is counted and logged.
    pub fn authorize(
        &self,
        config: &ConfigInForce,
        route: &QueueRoute,
        key: Option<&[u8]>,
    ) -> Option<Access> {
        let access = config.access(route, key);
        if access.is_none() {
            self.metrics.count(Counter::RequestsUnauthorized, 1);
            tracing::info!(queue = %route.queue.name, rule = "key", has_key = key.is_some(),
                version = config.queues().version,
                "refusing a call because its key is missing or unknown");
        }
        access
    }

    /// Checks that a submission can run under the limit of its account. One that cannot is counted and
    /// logged.
    ///
    /// # Errors
    ///
    /// Returns the step that can never run.
    pub fn check_limit(
        &self,
        config: &ConfigInForce,
        id: WorkflowId,
        spec: &WorkflowSpec,
    ) -> Result<(), LimitError> {
        let account = spec.account.as_ref();
        let Some(account) = account.and_then(|account| config.queues().account(account)) else {
            return Ok(());
        };
        let checked = spec.check_limit(account);
        if let Err(error) = &checked {
            self.metrics.count(Counter::RequestsOverLimit, 1);
            tracing::info!(request = %id, account = %account.name, rule = "limit", %error,
                "refusing a workflow because it can never run under the limit of its account");
        }
        checked
    }

    /// Whether the store has a workflow with this id that the caller has no access to. False if that
    /// cannot be read in time: the owner does not run a workflow with the id of another one.
    pub(super) async fn is_recorded_for_other(
        &self,
        shard: ShardId,
        id: WorkflowId,
        access: &Access,
    ) -> bool {
        if *access == Access::All {
            return false;
        }
        let read = reader::read_status(&self.store, shard, id);
        match tokio::time::timeout(READ_TIMEOUT, read).await {
            Ok(Ok(Some(status))) => !access.permits(status.account.as_ref()),
            Ok(Ok(None)) => false,
            Ok(Err(error)) => {
                tracing::debug!(request = %id, %error, "cannot read whose workflow an id is");
                false
            }
            Err(_) => false,
        }
    }
}
