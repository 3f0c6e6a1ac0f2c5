//! The platform's object store.

use std::sync::Arc;

use super::BoxFuture;
use super::table::TableError;

/// The platform's object store, which reads and writes complete objects by name.
pub trait ObjectStore: Send + Sync + 'static {
    /// Stores the object `name`, replacing an existing one. Idempotent.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::Unavailable`] or [`TableError::Unanswered`].
    fn put<'a>(&'a self, name: &'a str, bytes: Vec<u8>) -> BoxFuture<'a, Result<(), TableError>>;

    /// Reads the object `name`; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::Unavailable`] or [`TableError::Unanswered`].
    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<Option<Vec<u8>>, TableError>>;

    /// Deletes the object `name` if it exists. Idempotent.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::Unavailable`] or [`TableError::Unanswered`].
    fn delete<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<(), TableError>>;
}

/// Shared access to the object store.
pub type SharedObjectStore = Arc<dyn ObjectStore>;
