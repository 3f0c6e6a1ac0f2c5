//! The platform's list of VMs, which is eventually consistent.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::BoxFuture;
use super::table::TableError;

/// An entry of the platform's list of VMs, which lags by some seconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The name of the entry VM or backend server.
    pub name: String,
    /// Whether the VM is being removed.
    pub leaving: bool,
}

/// The platform's list of VMs.
pub trait VmList: Send + Sync + 'static {
    /// Reads the list, which lags behind the actual state.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::Unavailable`] or [`TableError::Unanswered`].
    fn list(&self) -> BoxFuture<'_, Result<Vec<ListedVm>, TableError>>;
}

/// Shared access to the list of VMs.
pub type SharedVmList = Arc<dyn VmList>;
