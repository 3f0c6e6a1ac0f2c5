//! The operators' configuration of queues.

use serde::{Deserialize, Serialize};

use super::account::{AccountConfig, AccountPolicy, EnginePolicies};
use super::policy::QueuePolicy;
use crate::model::{AccountName, QueueName};

/// A queue and where callers reach it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueRoute {
    /// The host name in callers' requests.
    pub host: String,
    /// The path prefix of callers' requests.
    pub prefix: String,
    /// Whether callers need no key of a client account.
    pub public: bool,
    /// The policy of the queue.
    pub queue: QueuePolicy,
}

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
}

impl Default for CallerLimits {
    fn default() -> Self {
        /// Applies until the operators' limit is known.
        const MAX_BODY_BYTES: usize = 256 * 1024;
        Self {
            max_body_bytes: MAX_BODY_BYTES,
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QueueConfig {
    /// The version number, which increases with each version.
    pub version: u64,
    /// The queues and where callers reach them.
    pub routes: Vec<QueueRoute>,
    /// The limits on callers' requests.
    pub limits: CallerLimits,
    /// The client accounts; `None` if there are none, so that no call needs a key.
    pub accounts: Option<Vec<AccountConfig>>,
}

impl QueueConfig {
    /// The part of the configuration that engines use.
    pub fn engine_policies(&self) -> EnginePolicies {
        let policies = |accounts: &Vec<AccountConfig>| {
            let policies = accounts.iter().map(|account| account.policy.clone());
            policies.collect()
        };
        EnginePolicies {
            queues: self
                .routes
                .iter()
                .map(|route| route.queue.clone())
                .collect(),
            accounts: self.accounts.as_ref().map(policies),
        }
    }

    /// The route with the longest prefix that matches a host and path, with the rest of the path.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutlug::workflow::QueueConfig;
    ///
    /// assert!(QueueConfig::default().route("swap.example", "/swap/1").is_none());
    /// ```
    pub fn route<'a>(&'a self, host: &str, path: &'a str) -> Option<(&'a QueueRoute, &'a str)> {
        let matches = |route: &&QueueRoute| route.host == host && path.starts_with(&route.prefix);
        let route = self.routes.iter().filter(matches);
        let route = route.max_by_key(|route| route.prefix.len())?;
        Some((route, &path[route.prefix.len()..]))
    }

    /// The policy of the queue, if it is configured.
    pub fn queue(&self, name: &QueueName) -> Option<&QueuePolicy> {
        let route = self.routes.iter().find(|route| route.queue.name == *name);
        route.map(|route| &route.queue)
    }

    /// The policy of the account, if it is configured.
    pub fn account(&self, name: &AccountName) -> Option<&AccountPolicy> {
        let mut accounts = self.accounts.iter().flatten();
        let account = accounts.find(|account| account.policy.name == *name);
        account.map(|account| &account.policy)
    }
}
