//! The client accounts of a configuration, their limits and guaranteed rates, and what they have
//! running.

use std::collections::HashMap;

use slotmap::{SecondaryMap, SlotMap, new_key_type};

use crate::model::{AccountName, Resources};
use crate::workflow::account::{AccountPolicy, LimitShare};
use crate::workflow::account_rate::{AccountRate, RateBurst};
use crate::workflow::fleet::fitting_count;

new_key_type! {
    /// The key of a client account in the engine.
    pub(in crate::workflow) struct AccountKey;
}

/// What the engine knows of a client account.
#[derive(Clone, Debug)]
pub(super) struct Account {
    pub(super) name: AccountName,
    /// `None` while the account is not configured.
    policy: Option<AccountPolicy>,
    /// The part of the limit that this shard may use; `None` until it is known.
    pub(super) share: Option<LimitShare>,
    /// What the account may have running in this shard. A dimension without a limit is the maximum.
    pub(super) allowed: Resources,
    pub(super) rate: AccountRate,
    /// Whether the rate has changed since the active workflows were last rated.
    pub(super) rate_changed: bool,
    /// What runs or may run, as of the last count and what has been placed since.
    pub(super) running: Resources,
    /// What a waiting gang may use before steps that come later, in the current placement round.
    pub(super) held: Resources,
    /// Whether the account has more running than its share by weight.
    pub(super) exceeds_weight: bool,
}

impl Account {
    fn new(name: AccountName) -> Self {
        Self {
            name,
            policy: None,
            share: None,
            allowed: UNLIMITED,
            rate: AccountRate::default(),
            rate_changed: false,
            running: Resources::default(),
            held: Resources::default(),
            exceeds_weight: false,
        }
    }

    /// The limit, unless no dimension is limited.
    pub(super) fn limit(&self) -> Option<&Resources> {
        let limit = self.policy.as_ref().map(|policy| &policy.limit);
        limit.filter(|limit| **limit != Resources::default())
    }

    /// The rate of submissions that the account is owed, and its weight.
    fn weight(&self) -> f64 {
        let weight = self.policy.as_ref().map(|policy| policy.submissions_per_s);
        weight.filter(|weight| *weight > 0.0).unwrap_or(0.0)
    }

    /// Updates what the account may have running in this shard after its limit or share has changed.
    pub(super) fn update_allowed(&mut self) {
        let Some(limit) = self.limit() else {
            self.allowed = UNLIMITED;
            return;
        };
        let share = self.share.unwrap_or(LimitShare(0)).of(limit);
        let allowed = |limit, share| if limit == 0 { u32::MAX } else { share };
        self.allowed = Resources {
            cpu_milli: allowed(limit.cpu_milli, share.cpu_milli),
            memory_mib: allowed(limit.memory_mib, share.memory_mib),
            accelerators: allowed(limit.accelerators, share.accelerators),
        };
    }

    /// What the account may start. `None` if it may start nothing: its share is not known, or more
    /// runs than its limit allows.
    fn room(&self) -> Option<Resources> {
        if self.limit().is_none() {
            return Some(UNLIMITED);
        }
        self.share?;
        let allowed = self.allowed;
        let taken = self.running.plus(&self.held);
        let left = |allowed: u32, taken: u32| match allowed {
            u32::MAX => Some(u32::MAX),
            _ => allowed.checked_sub(taken),
        };
        Some(Resources {
            cpu_milli: left(allowed.cpu_milli, taken.cpu_milli)?,
            memory_mib: left(allowed.memory_mib, taken.memory_mib)?,
            accelerators: left(allowed.accelerators, taken.accelerators)?,
        })
    }

    pub(super) fn is_over_limit(&self) -> bool {
        !self.running.fits_in(&self.allowed)
    }
}

/// The resources of an account without a limit.
const UNLIMITED: Resources = Resources {
    cpu_milli: u32::MAX,
    memory_mib: u32::MAX,
    accelerators: u32::MAX,
};

/// The client accounts of the configuration in effect, and those of active workflows.
///
/// Accounts that are no longer configured stay, because runs refer to them. Their number is bounded by
/// the accounts that were configured while this owner acts.
#[derive(Debug)]
pub(super) struct Accounts {
    /// Whether the configuration has accounts.
    pub(super) configured: bool,
    pub(super) accounts: SlotMap<AccountKey, Account>,
    keys: HashMap<AccountName, AccountKey>,
    /// The part of the workflows that this shard gets.
    workflow_share: f64,
    /// How far submissions may be ahead of their account's guaranteed rate.
    burst: RateBurst,
    /// Whether the active workflows have to be rated again.
    pub(super) rates_due: bool,
    /// Whether the configuration had no accounts when the active workflows were rated.
    pub(super) were_absent: bool,
    /// Whether limits may have been lowered since all accounts were last within theirs, so that
    /// placed runs may not be allowed to start.
    pub(super) limits_lowered: bool,
}

impl Accounts {
    pub(super) fn new(burst: RateBurst) -> Self {
        Self {
            burst,
            configured: false,
            accounts: SlotMap::with_key(),
            keys: HashMap::new(),
            workflow_share: 1.0,
            rates_due: false,
            were_absent: false,
            limits_lowered: false,
        }
    }

    /// Applies the accounts of a configuration. The first account with a given name is used.
    pub(super) fn set_policies(&mut self, policies: Option<Vec<AccountPolicy>>) {
        if self.configured != policies.is_some() {
            self.were_absent |= !self.configured;
            self.rates_due = true;
        }
        self.configured = policies.is_some();
        let mut configured = SecondaryMap::new();
        for policy in policies.into_iter().flatten() {
            let key = self.key(&policy.name);
            if !configured.contains_key(key) {
                configured.insert(key, policy);
            }
        }
        for (key, account) in &mut self.accounts {
            let policy = configured.remove(key);
            if account.policy == policy {
                continue;
            }
            let was_limited = account.limit().is_some();
            let weight = account.weight();
            account.policy = policy;
            if was_limited && account.limit().is_none() {
                // The share may be given to other shards while nobody needs it.
                account.share = None;
            }
            account.update_allowed();
            self.limits_lowered = true;
            if account.weight() != weight {
                account.rate = AccountRate::new(account.weight(), self.burst, self.workflow_share);
                account.rate_changed = true;
                self.rates_due = true;
            }
        }
    }

    pub(super) fn set_workflow_share(&mut self, share: f64) {
        self.workflow_share = share;
        let burst = self.burst;
        for account in self.accounts.values_mut() {
            account.rate = AccountRate::new(account.weight(), burst, share);
            account.rate_changed = true;
        }
        self.rates_due = true;
    }

    /// Forgets what has been admitted under rates that have changed, or under `all` rates.
    pub(super) fn reset_changed_rates(&mut self, all: bool) {
        let (share, burst) = (self.workflow_share, self.burst);
        let accounts = self.accounts.values_mut();
        for account in accounts.filter(|account| all || account.rate_changed) {
            account.rate = AccountRate::new(account.weight(), burst, share);
        }
    }

    /// The key of the account, which is added if it is new.
    pub(super) fn key(&mut self, name: &AccountName) -> AccountKey {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let key = self.accounts.insert(Account::new(name.clone()));
        self.keys.insert(name.clone(), key);
        key
    }

    /// Whether the configuration has accounts.
    pub(super) fn are_configured(&self) -> bool {
        self.configured
    }

    pub(super) fn get(&self, key: Option<AccountKey>) -> Option<&Account> {
        self.accounts.get(key?).filter(|_| self.configured)
    }

    /// Whether the limit of the account allows `need` in addition.
    pub(super) fn allow(&self, key: Option<AccountKey>, need: &Resources) -> bool {
        let Some(account) = self.get(key) else {
            return true;
        };
        account.room().is_some_and(|room| need.fits_in(&room))
    }

    /// How many tasks that need this much the limit of the account allows in addition, up to `max`.
    pub(super) fn allowed_tasks(&self, key: Option<AccountKey>, need: &Resources, max: u32) -> u32 {
        let Some(account) = self.get(key) else {
            return max;
        };
        let room = account.room();
        room.map_or(0, |room| fitting_count(need, &room).min(max))
    }

    /// Adds what is placed or released within a round.
    pub(super) fn add_running(&mut self, key: Option<AccountKey>, need: &Resources) {
        if let Some(account) = key.and_then(|key| self.accounts.get_mut(key)) {
            account.running = account.running.plus(need);
        }
    }

    pub(super) fn begin_count(&mut self) {
        for account in self.accounts.values_mut() {
            account.running = Resources::default();
            account.held = Resources::default();
        }
    }

    pub(super) fn end_count(&mut self) {
        self.limits_lowered &= self.accounts.values().any(Account::is_over_limit);
    }

    /// Compares what accounts have running with their share by weight, out of `capacity`. `waiting` are
    /// the accounts of steps that wait.
    pub(super) fn compare_with_weights(
        &mut self,
        waiting: impl Iterator<Item = AccountKey>,
        capacity: &Resources,
    ) {
        let mut is_waiting = SecondaryMap::new();
        for key in waiting {
            is_waiting.insert(key, ());
        }
        let usage = |account: &Account| dominant_share(&account.running, capacity);
        let (mut used, mut weights) = (0.0, 0.0);
        for (key, account) in &self.accounts {
            let running = usage(account);
            used += running;
            if running > 0.0 || is_waiting.contains_key(key) {
                weights += account.weight();
            }
        }
        for account in self.accounts.values_mut() {
            account.exceeds_weight = usage(account) * weights > used * account.weight();
        }
    }
}

/// The largest part of any resource.
fn dominant_share(part: &Resources, total: &Resources) -> f64 {
    let share = |part: u32, total: u32| f64::from(part) / f64::from(total.max(1));
    let cpu = share(part.cpu_milli, total.cpu_milli);
    let memory = share(part.memory_mib, total.memory_mib);
    let accelerators = share(part.accelerators, total.accelerators);
    cpu.max(memory).max(accelerators)
}
