//! The platform's lagging list of VMs.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::BoxFuture;
use super::table::TableError;

/// One VM as the platform lists it, some seconds late.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The VM's name: an entry VM's, or a backend server's.
    pub name: String,
    /// Whether the VM is being taken away.
    pub leaving: bool,
}

/// The platform's list of VMs.
pub trait VmList: Send + Sync + 'static {
    /// Reads the list; it lags behind the truth.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::Unavailable`] or [`TableError::Unanswered`].
    fn list(&self) -> BoxFuture<'_, Result<Vec<ListedVm>, TableError>>;
}

/// A shared list of VMs.
pub type SharedVmList = Arc<dyn VmList>;
