//! The platform's feeds of configurations and workers.

use std::sync::Arc;
use std::time::Duration;

use super::BoxFuture;
use super::executor::WorkerListing;
use super::record_store::StoreError;
use crate::model::WorkerName;
use crate::workflow::QueueConfig;

/// A change of the list of workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerChange {
    /// The worker is listed, with this description.
    Listed(WorkerListing),
    /// The worker is no longer listed.
    Unlisted(WorkerName),
}

impl WorkerChange {
    /// The worker that the change is about.
    pub fn worker(&self) -> &WorkerName {
        match self {
            Self::Listed(listing) => &listing.name,
            Self::Unlisted(name) => name,
        }
    }
}

/// An update from a feed.
#[derive(Clone, Debug, PartialEq)]
pub struct FeedUpdate<T> {
    /// All current items, or the changes since the requested version.
    pub items: Vec<T>,
    /// Whether `items` contains all current items.
    pub is_snapshot: bool,
    /// The version up to which the update contains changes.
    pub version: u64,
}

/// The feeds of the platform. A request with version `None` returns a snapshot.
pub trait Feeds: Send + Sync + 'static {
    /// The configurations after `version`. Waits up to `wait` for a new one.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    fn configurations<'a>(
        &'a self,
        version: Option<u64>,
        wait: Duration,
    ) -> BoxFuture<'a, Result<FeedUpdate<QueueConfig>, StoreError>>;

    /// The changes of the list of workers after `version`. Waits up to `wait` for a change.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    fn workers<'a>(
        &'a self,
        version: Option<u64>,
        wait: Duration,
    ) -> BoxFuture<'a, Result<FeedUpdate<WorkerChange>, StoreError>>;
}

/// Shared access to the feeds.
pub type SharedFeeds = Arc<dyn Feeds>;
