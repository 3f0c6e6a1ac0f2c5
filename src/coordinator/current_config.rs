//! The configuration in force on a VM.

use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwapOption;
use tokio::sync::watch;

use crate::metrics::{Counter, Metrics};
use crate::workflow::{Access, AccountKeys, EnginePolicies, QueueConfig, QueueRoute};

/// One version of the configuration, with what is derived from it.
pub struct ConfigInForce {
    queues: QueueConfig,
    /// `None` if the configuration has no accounts.
    keys: Option<AccountKeys>,
}

impl ConfigInForce {
    fn new(queues: QueueConfig) -> Self {
        let keys = queues.accounts.as_deref().map(AccountKeys::new);
        Self { queues, keys }
    }

    /// The configuration.
    pub fn queues(&self) -> &QueueConfig {
        &self.queues
    }

    /// The access of a call on `route` with this key; `None` if it has to be refused because its key is
    /// missing or unknown.
    pub fn access(&self, route: &QueueRoute, key: Option<&[u8]>) -> Option<Access> {
        let Some(keys) = &self.keys else {
            return Some(Access::All);
        };
        if route.public {
            return Some(Access::Public);
        }
        let account = keys.account(key?)?;
        Some(Access::Account(account.clone()))
    }
}

/// Holds the configuration in force. All paths by which a VM gets configurations end in
/// [`Self::apply`], so that none of them can bring back an older version.
pub struct CurrentConfig {
    current: ArcSwapOption<ConfigInForce>,
    policies: watch::Sender<EnginePolicies>,
    /// Held while a version is compared and applied. Without it, a version could replace a newer one that
    /// another path applies at the same time.
    applying: Mutex<()>,
    metrics: Metrics,
}

impl CurrentConfig {
    /// No configuration yet, and the receiver of the policies for engines.
    pub fn new(metrics: Metrics) -> (Self, watch::Receiver<EnginePolicies>) {
        let (policies, receiver) = watch::channel(EnginePolicies::default());
        let current = Self {
            current: ArcSwapOption::empty(),
            policies,
            applying: Mutex::default(),
            metrics,
        };
        (current, receiver)
    }

    /// The configuration in force, if there is one yet.
    pub fn get(&self) -> Option<Arc<ConfigInForce>> {
        self.current.load_full()
    }

    /// The version of the configuration in force; 0 if there is none yet.
    pub fn version(&self) -> u64 {
        let current = self.current.load();
        current.as_ref().map_or(0, |config| config.queues.version)
    }

    /// Applies a configuration and returns true; returns false if it is not newer than the current one.
    pub fn apply(&self, config: QueueConfig) -> bool {
        let _applying = self.applying.lock().unwrap_or_else(PoisonError::into_inner);
        let current = self.current.load();
        if current
            .as_ref()
            .is_some_and(|current| current.queues.version >= config.version)
        {
            return false;
        }
        tracing::info!(
            version = config.version,
            queues = config.routes.len(),
            accounts = config.accounts.as_ref().map(Vec::len),
            "applying a queue configuration"
        );
        self.metrics.count(Counter::ConfigApplied, 1);
        let policies = config.engine_policies();
        let config = ConfigInForce::new(config);
        self.current.store(Some(Arc::new(config)));
        self.policies.send_replace(policies);
        true
    }
}
