//! Client accounts: what the operators configure for them, and what an engine knows of their work.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use super::policy::QueuePolicy;
use crate::model::{AccountName, Resources};

/// The policy of a client account, as configured by the operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountPolicy {
    /// The account.
    pub name: AccountName,
    /// The rate of submissions that the account is owed, and its weight when there is too little room.
    pub submissions_per_s: f64,
    /// What the account may have running on all workers. A dimension that is 0 has no limit.
    pub limit: Resources,
}

/// A client account and the keys of its callers.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountConfig {
    /// The policy.
    pub policy: AccountPolicy,
    /// The keys, which must not be logged.
    pub keys: Vec<String>,
}

impl std::fmt::Debug for AccountConfig {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AccountConfig")
            .field("policy", &self.policy)
            .field("keys", &self.keys.len())
            .finish()
    }
}

/// A fault in the configuration of the accounts. It names no key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AccountFault {
    /// An account cannot be read; it is left out.
    #[error("account {0} of the list cannot be read: {1}")]
    Unreadable(usize, String),
    /// There are two accounts with this name.
    #[error("account {0} is configured twice; the first one applies")]
    DuplicateAccount(AccountName),
    /// A key belongs to two accounts.
    #[error("accounts {first} and {second} share a key; it belongs to {first}")]
    SharedKey {
        /// The account that the key belongs to.
        first: AccountName,
        /// The other account.
        second: AccountName,
    },
    /// A key is empty.
    #[error("account {0} has an empty key, which is ignored")]
    EmptyKey(AccountName),
    /// The guaranteed rate is negative or not a number.
    #[error("account {0} has an invalid weight; it is 0")]
    Weight(AccountName),
    /// A dimension of the limit is negative or not a number.
    #[error("account {0} has an invalid limit of {1}; it has no limit there")]
    Limit(AccountName, &'static str),
}

/// Resolves the faults of the accounts, and returns them: the first account with a name or a key applies,
/// empty keys are dropped, and a rate that is negative or not a number is 0.
///
/// # Examples
///
/// ```
/// use chestnutlug::model::{AccountName, Resources};
/// use chestnutlug::workflow::{AccountConfig, AccountPolicy, resolve_account_faults};
///
/// let (name, limit) = (AccountName::new("parlour"), Resources::default());
/// let policy = AccountPolicy { name, submissions_per_s: -1.0, limit };
/// let account = AccountConfig { policy, keys: vec!["k-1".to_owned()] };
/// let (accounts, faults) = resolve_account_faults(vec![account.clone(), account]);
/// assert_eq!((accounts.len(), faults.len()), (1, 2));
/// assert_eq!(accounts[0].policy.submissions_per_s, 0.0);
/// ```
pub fn resolve_account_faults(
    accounts: Vec<AccountConfig>,
) -> (Vec<AccountConfig>, Vec<AccountFault>) {
    let mut faults = Vec::new();
    let mut names = HashSet::new();
    let mut keys: HashMap<String, AccountName> = HashMap::new();
    let mut resolved = Vec::with_capacity(accounts.len());
    for mut account in accounts {
        let name = account.policy.name.clone();
        if !names.insert(name.clone()) {
            faults.push(AccountFault::DuplicateAccount(name));
            continue;
        }
        let rate = account.policy.submissions_per_s;
        if !rate.is_finite() || rate < 0.0 {
            faults.push(AccountFault::Weight(name.clone()));
            account.policy.submissions_per_s = 0.0;
        }
        account.keys.retain(|key| {
            if key.is_empty() {
                faults.push(AccountFault::EmptyKey(name.clone()));
                return false;
            }
            let first = keys.entry(key.clone()).or_insert_with(|| name.clone());
            if *first != name {
                faults.push(AccountFault::SharedKey {
                    first: first.clone(),
                    second: name.clone(),
                });
            }
            *first == name
        });
        resolved.push(account);
    }
    (resolved, faults)
}

/// The part of a configuration that engines use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EnginePolicies {
    /// The queues.
    pub queues: Vec<QueuePolicy>,
    /// The client accounts; `None` if the configuration has none, so that no call needs a key.
    pub accounts: Option<Vec<AccountPolicy>>,
}

common! { value
/// The part of an account's limit that one shard may use, in thousandths.
///
/// # Examples
///
/// ```
/// use chestnutlug::model::Resources;
/// use chestnutlug::workflow::LimitShare;
///
/// let limit = Resources { cpu_milli: 10_000, ..Resources::default() };
/// assert_eq!(LimitShare(250).of(&limit).cpu_milli, 2_500);
/// ```
pub struct LimitShare(pub u16);
}

impl LimitShare {
    /// The whole limit.
    pub const WHOLE: Self = Self(1_000);

    /// This part of `limit`, rounded down.
    pub fn of(self, limit: &Resources) -> Resources {
        let part = |value: u32| {
            let part = u64::from(value) * u64::from(self.0) / u64::from(Self::WHOLE.0);
            u32::try_from(part).unwrap_or(u32::MAX)
        };
        Resources {
            cpu_milli: part(limit.cpu_milli),
            memory_mib: part(limit.memory_mib),
            accelerators: part(limit.accelerators),
        }
    }
}

/// What an account has running and waiting in one shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountLoad {
    /// The account.
    pub account: AccountName,
    /// The limit in all shards.
    pub limit: Resources,
    /// What runs, or may run.
    pub running: Resources,
    /// What waits and could start if the account had no limit.
    pub waiting: Resources,
}
