//! What the platform tells about the configuration in force and about the workers.

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
    /// The worker is listed so.
    Listed(WorkerListing),
    /// The worker is no longer listed.
    Unlisted(WorkerName),
}

impl WorkerChange {
    /// The worker that changes.
    pub fn worker(&self) -> &WorkerName {
        match self {
            Self::Listed(listing) => &listing.name,
            Self::Unlisted(name) => name,
        }
    }
}

/// News of a feed.
#[derive(Clone, Debug, PartialEq)]
pub struct FeedUpdate<T> {
    /// What there is now, or what has changed since the version asked for.
    pub items: Vec<T>,
    /// Whether `items` is everything there is.
    pub is_snapshot: bool,
    /// Up to which version this goes.
    pub version: u64,
}

/// The feeds. A version of `None` asks for everything there is.
pub trait Feeds: Send + Sync + 'static {
    /// Versions of the configuration after `version`; waits up to `wait` for one.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    fn configurations<'a>(
        &'a self,
        version: Option<u64>,
        wait: Duration,
    ) -> BoxFuture<'a, Result<FeedUpdate<QueueConfig>, StoreError>>;

    /// Changes of the list of workers after `version`; waits up to `wait` for one.
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
