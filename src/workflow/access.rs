//! Which workflows a call may see, change or submit.

use serde::{Deserialize, Serialize};

use crate::model::AccountName;

/// The workflows that a call has access to.
///
/// A workflow without an account was submitted on a public route or before the configuration had accounts,
/// so that any caller may know of it.
///
/// # Examples
///
/// ```
/// use chestnutlug::model::AccountName;
/// use chestnutlug::workflow::Access;
///
/// let (ours, theirs) = (AccountName::new("ours"), AccountName::new("theirs"));
/// let access = Access::Account(ours.clone());
/// assert!(access.permits(Some(&ours)) && access.permits(None));
/// assert!(!access.permits(Some(&theirs)) && !Access::Public.permits(Some(&theirs)));
/// assert!(Access::All.permits(Some(&theirs)));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Access {
    /// All workflows: the configuration has no accounts.
    All,
    /// The workflows without an account: the route is public.
    Public,
    /// The workflows of this account and those without an account.
    Account(AccountName),
}

impl Access {
    /// Whether the call has access to a workflow of `owner`, which is `None` for one without an account.
    pub fn permits(&self, owner: Option<&AccountName>) -> bool {
        match (self, owner) {
            (Self::All, _) | (_, None) => true,
            (Self::Public, Some(_)) => false,
            (Self::Account(account), Some(owner)) => account == owner,
        }
    }

    /// The account of the workflows that the call submits.
    pub fn account(&self) -> Option<&AccountName> {
        match self {
            Self::Account(account) => Some(account),
            Self::All | Self::Public => None,
        }
    }
}
