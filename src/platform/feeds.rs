//! Feeds of the operators' configuration and of the list of workers.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use super::accounts::{self, position};
use super::listing;
use super::wire;
use crate::model::{QueueName, ServiceName, WorkerName};
use crate::port::BoxFuture;
use crate::port::feeds::{FeedUpdate, Feeds, WorkerChange};
use crate::port::record_store::{Record, SharedRecordStore, StoreCall, StoreError, StoreReply};
use crate::workflow::{
    AccountFault, CallerLimits, PermitLatency, QueueConfig, QueuePolicy, QueueRoute,
};

const OPERATORS_TABLE: &str = "op";
const CONFIG_KEY: &str = "config";
const WORKERS_TABLE: &str = "servers";

/// The maximum number of rows per page.
const PAGE_SIZE: u32 = 500;

/// The timeout of one call, in addition to the time for which it waits for changes. The store responds
/// within 4 ms, and up to sixty times slower during a disturbance.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Feeds that are read from the platform's store.
pub struct PlatformFeeds {
    store: SharedRecordStore,
    /// The last configuration version whose faults were logged. A version is read many times.
    last_logged: AtomicU64,
}

impl PlatformFeeds {
    /// Feeds that are read through `store`.
    pub fn new(store: SharedRecordStore) -> Self {
        Self {
            store,
            last_logged: AtomicU64::new(0),
        }
    }

    /// Reads the changes of a table after `version`, or a snapshot if `version` is `None` or the store has
    /// truncated the history.
    async fn read_update(
        &self,
        table: &str,
        version: Option<u64>,
        wait: Duration,
    ) -> Result<FeedUpdate<Record>, StoreError> {
        if let Some(after) = version {
            let call = StoreCall::Changes {
                table: table.to_owned(),
                after,
                wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
            };
            if let StoreReply::Records {
                records, version, ..
            } = self.store.call(&call, CALL_TIMEOUT).await?
            {
                return Ok(FeedUpdate {
                    items: records,
                    is_snapshot: false,
                    version,
                });
            }
        }
        self.read_snapshot(table).await
    }

    /// Reads all rows of a table, page by page.
    async fn read_snapshot(&self, table: &str) -> Result<FeedUpdate<Record>, StoreError> {
        let mut items: Vec<Record> = Vec::new();
        let mut first_version = None;
        loop {
            let from = items.last().map(|last| format!("{}\0", last.key.key));
            let call = StoreCall::Scan {
                table: table.to_owned(),
                partition: String::new(),
                from: from.unwrap_or_default(),
                to: None,
                limit: PAGE_SIZE,
            };
            let reply = self.store.call(&call, CALL_TIMEOUT).await?;
            let StoreReply::Records {
                records,
                truncated,
                version,
            } = reply
            else {
                return Err(StoreError::Unknown("a page without rows".to_owned()));
            };
            items.extend(records);
            // The version of the first page, so that the feed also returns changes between two pages.
            let first = *first_version.get_or_insert(version);
            if !truncated {
                return Ok(FeedUpdate {
                    items,
                    is_snapshot: true,
                    version: first,
                });
            }
        }
    }

    async fn read_configurations(
        &self,
        version: Option<u64>,
        wait: Duration,
    ) -> Result<FeedUpdate<QueueConfig>, StoreError> {
        let update = self.read_update(OPERATORS_TABLE, version, wait).await?;
        let rows = update.items.iter().filter(|row| row.key.key == CONFIG_KEY);
        let values = rows.filter_map(|row| row.value.as_deref());
        let configs = values.filter_map(|value| match config(value) {
            Ok((config, faults)) => {
                self.log_faults(config.version, &faults);
                Some(config)
            }
            Err(error) => {
                tracing::error!(
                    error = position(&error),
                    "cannot parse a queue configuration in the store; skipping it"
                );
                None
            }
        });
        Ok(FeedUpdate {
            items: configs.collect(),
            is_snapshot: update.is_snapshot,
            version: update.version,
        })
    }

    /// Logs the faults of a configuration version, once and together.
    fn log_faults(&self, version: u64, faults: &[AccountFault]) {
        let last = self.last_logged.fetch_max(version, Ordering::Relaxed);
        if faults.is_empty() || last >= version {
            return;
        }
        let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
        tracing::error!(
            version,
            count = faults.len(),
            faults = faults.join("; "),
            "the configuration of the client accounts has faults; applying the rest of it"
        );
    }

    async fn read_workers(
        &self,
        version: Option<u64>,
        wait: Duration,
    ) -> Result<FeedUpdate<WorkerChange>, StoreError> {
        let update = self.read_update(WORKERS_TABLE, version, wait).await?;
        Ok(FeedUpdate {
            items: update.items.iter().map(worker_change).collect(),
            is_snapshot: update.is_snapshot,
            version: update.version,
        })
    }
}

fn worker_change(row: &Record) -> WorkerChange {
    let name = WorkerName::new(&row.key.key);
    let Some(value) = &row.value else {
        return WorkerChange::Unlisted(name);
    };
    match listing::parse(&row.key.key, value) {
        Ok(listing) => WorkerChange::Listed(listing),
        Err(error) => {
            tracing::warn!(worker = %name, %error,
                "invalid listing of a worker in the store; treating the worker as unlisted");
            WorkerChange::Unlisted(name)
        }
    }
}

impl Feeds for PlatformFeeds {
    fn configurations<'a>(
        &'a self,
        version: Option<u64>,
        wait: Duration,
    ) -> BoxFuture<'a, Result<FeedUpdate<QueueConfig>, StoreError>> {
        Box::pin(self.read_configurations(version, wait))
    }

    fn workers<'a>(
        &'a self,
        version: Option<u64>,
        wait: Duration,
    ) -> BoxFuture<'a, Result<FeedUpdate<WorkerChange>, StoreError>> {
        Box::pin(self.read_workers(version, wait))
    }
}

/// Parses a configuration, and returns the faults of its accounts.
fn config(value: &[u8]) -> Result<(QueueConfig, Vec<AccountFault>), serde_json::Error> {
    let config: wire::Config = serde_json::from_slice(value)?;
    let default = CallerLimits::default();
    let max_body_bytes = config.limits.max_body_bytes;
    let accounts = config.tenants.as_deref().map(accounts::parse);
    let (accounts, faults) = accounts.unzip();
    let config = QueueConfig {
        version: config.version,
        routes: config.routes.into_iter().map(route).collect(),
        limits: CallerLimits {
            max_body_bytes: max_body_bytes.unwrap_or(default.max_body_bytes),
        },
        accounts,
    };
    Ok((config, faults.unwrap_or_default()))
}

fn route(route: wire::Route) -> QueueRoute {
    QueueRoute {
        host: route.host,
        prefix: route.prefix,
        public: route.public,
        queue: QueuePolicy {
            name: QueueName::new(&route.name),
            service: ServiceName::new(&route.service),
            priority: route.priority,
            attempts: route.attempts,
            slack_factor: route.slack_factor,
            slo_ms: route.slo_ms.max(0.0) as u64,
            permits: route.advice.map(|advice| PermitLatency {
                base_ms: advice.decide_ms,
                per_worker_ms: advice.period_ms,
            }),
        },
    }
}
