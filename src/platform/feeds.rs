//! The operators' configuration and the list of workers, as feeds.

use std::time::Duration;

use super::listing;
use super::wire;
use crate::model::{QueueName, ServiceName, WorkerName};
use crate::port::BoxFuture;
use crate::port::feeds::{FeedUpdate, Feeds, WorkerChange};
use crate::port::record_store::{Record, SharedRecordStore, StoreCall, StoreError, StoreReply};
use crate::workflow::{CallerLimits, PermitLatency, QueueConfig, QueuePolicy, QueueRoute};

const OPERATORS_TABLE: &str = "op";
const CONFIG_KEY: &str = "config";
const WORKERS_TABLE: &str = "servers";

/// The most rows of one page.
const PAGE: u32 = 500;

/// How long one call may take beyond the time that it waits; the store answers in 4 ms, and up to
/// sixty times slower in a disturbance.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The feeds, read from the store.
pub struct PlatformFeeds {
    records: SharedRecordStore,
}

impl PlatformFeeds {
    /// Feeds that are read through `records`.
    pub fn new(records: SharedRecordStore) -> Self {
        Self { records }
    }

    async fn news(
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
            } = self.records.call(&call, CALL_TIMEOUT).await?
            {
                return Ok(FeedUpdate {
                    items: records,
                    is_snapshot: false,
                    version,
                });
            }
        }
        self.whole(table).await
    }

    async fn whole(&self, table: &str) -> Result<FeedUpdate<Record>, StoreError> {
        let mut items: Vec<Record> = Vec::new();
        let mut first_version = None;
        loop {
            let from = items.last().map(|last| format!("{}\0", last.key.key));
            let call = StoreCall::Scan {
                table: table.to_owned(),
                partition: String::new(),
                from: from.unwrap_or_default().replace('\0', "%00"),
                to: None,
                limit: PAGE,
            };
            let reply = self.records.call(&call, CALL_TIMEOUT).await?;
            let StoreReply::Records {
                records,
                truncated,
                version,
            } = reply
            else {
                return Err(StoreError::Unknown("a page without rows".to_owned()));
            };
            items.extend(records);
            // Changes between two pages are learnt from the feed after the first.
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
        let news = self.news(OPERATORS_TABLE, version, wait).await?;
        let rows = news.items.iter().filter(|row| row.key.key == CONFIG_KEY);
        let values = rows.filter_map(|row| row.value.as_deref());
        let configs = values.filter_map(|value| match config(value) {
            Ok(config) => Some(config),
            Err(error) => {
                tracing::error!(%error, "a configuration cannot be read and is passed over");
                None
            }
        });
        Ok(FeedUpdate {
            items: configs.collect(),
            is_snapshot: news.is_snapshot,
            version: news.version,
        })
    }

    async fn read_workers(
        &self,
        version: Option<u64>,
        wait: Duration,
    ) -> Result<FeedUpdate<WorkerChange>, StoreError> {
        let news = self.news(WORKERS_TABLE, version, wait).await?;
        Ok(FeedUpdate {
            items: news.items.iter().map(worker_change).collect(),
            is_snapshot: news.is_snapshot,
            version: news.version,
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
            tracing::warn!(worker = %name, %error, "a row names no worker to use");
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

/// Reads a configuration.
fn config(value: &[u8]) -> Result<QueueConfig, serde_json::Error> {
    let config: wire::Config = serde_json::from_slice(value)?;
    let default = CallerLimits::default();
    let max_body_bytes = config.limits.max_body_bytes;
    Ok(QueueConfig {
        version: config.version,
        routes: config.routes.into_iter().map(route).collect(),
        limits: CallerLimits {
            max_body_bytes: max_body_bytes.unwrap_or(default.max_body_bytes),
        },
    })
}

fn route(route: wire::Route) -> QueueRoute {
    QueueRoute {
        host: route.host,
        prefix: route.prefix,
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
