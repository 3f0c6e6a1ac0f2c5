//! The platform's object store.

use std::sync::Arc;

use super::BoxFuture;
use super::table::TableError;

/// The platform's object store: whole objects by name.
pub trait ObjectStore: Send + Sync + 'static {
    /// Stores `bytes` under `name`, replacing what was there; idempotent.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::Unavailable`] or [`TableError::Unanswered`].
    fn put<'a>(&'a self, name: &'a str, bytes: Vec<u8>) -> BoxFuture<'a, Result<(), TableError>>;

    /// Reads the object `name`; `None` where it is absent.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::Unavailable`] or [`TableError::Unanswered`].
    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<Option<Vec<u8>>, TableError>>;

    /// Deletes the object `name`; idempotent, also where it is absent.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::Unavailable`] or [`TableError::Unanswered`].
    fn delete<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<(), TableError>>;
}

/// A shared object store.
pub type SharedObjectStore = Arc<dyn ObjectStore>;
