//! What client accounts have running in the shard, and how much they may.
//!
//! Each placement round counts what the accounts have running, and adds what it places. An account has
//! a run from its placement until there is proof that the run has ended.

use slotmap::SecondaryMap;

use super::account_state::{Account, AccountKey};
use super::{Engine, ReadyKey};
use crate::model::{AccountName, Resources, Time};
use crate::workflow::account::{AccountLoad, LimitShare};
use crate::workflow::account_rate::NEVER;
use crate::workflow::active::ActiveWorkflow;
use crate::workflow::fleet::UnadoptedRun;
use crate::workflow::spec::{StepId, StepSpec, WorkflowId};

/// Why a step may not start although there may be free capacity.
#[derive(Clone, Debug)]
pub(super) struct LimitBlock {
    pub(super) account: AccountName,
    /// The rule that holds the step back.
    pub(super) rule: &'static str,
    pub(super) running: Resources,
    /// What the account may have running in this shard.
    pub(super) allowed: Resources,
}

impl Engine {
    /// Sets the part of the account's limit that this shard may use. Until then it may use none. The
    /// engine forgets the share when the account has no limit any more.
    pub fn set_limit_share(&mut self, account: &AccountName, share: LimitShare) {
        let key = self.accounts.key(account);
        if let Some(account) = self.accounts.accounts.get_mut(key) {
            self.accounts.limits_lowered |= account.share > Some(share);
            account.share = Some(share);
            account.update_allowed();
        }
        self.placement_due = true;
    }

    /// Sets the part of the workflows that this shard gets, which is its part of the guaranteed rates.
    pub fn set_workflow_share(&mut self, share: f64) {
        self.accounts.set_workflow_share(share);
    }

    /// When the workflow's submission conforms to the guaranteed rate of its account.
    pub(super) fn guaranteed_at(&self, id: WorkflowId) -> Option<Time> {
        self.active.get(&id).map(|active| active.guaranteed_at)
    }

    /// Whether the workflow's submission exceeds the guaranteed rate of its account.
    pub(super) fn is_excess(&self, id: WorkflowId, now: Time) -> bool {
        self.accounts.configured && self.guaranteed_at(id).is_some_and(|at| at > now)
    }

    /// Whether the account of the workflow has more running than its share by weight.
    pub(super) fn exceeds_weight(&self, id: WorkflowId) -> bool {
        if !self.accounts.configured {
            return false;
        }
        let key = self.active.get(&id).and_then(|active| active.account);
        let account = self.accounts.get(key);
        account.is_none_or(|account| account.exceeds_weight)
    }

    /// What each account that has a limit has running and waiting in this shard.
    pub fn account_loads(&self) -> Vec<AccountLoad> {
        let limited = self.accounts.accounts.iter();
        let limited = limited.filter(|(_, account)| account.limit().is_some());
        let limited: Vec<(AccountKey, &Account)> = limited.collect();
        if limited.is_empty() {
            return Vec::new();
        }
        let mut running = SecondaryMap::new();
        self.visit_running(|key, need| {
            if let Some(sum) = running.entry(key) {
                let sum: &mut Resources = sum.or_default();
                *sum = sum.plus(need);
            }
        });
        let waiting = self.waiting_by_account();
        let of = |map: &SecondaryMap<AccountKey, Resources>, key| {
            map.get(key).copied().unwrap_or_default()
        };
        let loads = limited.into_iter().map(|(key, account)| AccountLoad {
            account: account.name.clone(),
            limit: account.limit().copied().unwrap_or_default(),
            running: of(&running, key),
            waiting: of(&waiting, key),
        });
        let mut loads: Vec<AccountLoad> = loads.collect();
        loads.sort_by(|a, b| a.account.cmp(&b.account));
        loads
    }

    /// Visits what accounts have running: the runs that hold capacity on workers, those that are not
    /// adopted from an earlier owner and have not ended, and those of which it is not known yet.
    fn visit_running(&self, mut visit: impl FnMut(AccountKey, &Resources)) {
        let mut add = |key: Option<AccountKey>, need: &Resources| {
            if let Some(key) = key {
                visit(key, need);
            }
        };
        for (_, worker) in self.fleet.iter() {
            for run in worker.runs.values() {
                add(run.account, &run.need);
            }
            let unadopted = worker.unadopted.iter();
            let unadopted = unadopted.filter(|run| !self.is_unverified(run));
            for run in unadopted {
                add(run.account, &run.need);
            }
        }
        if self.recovery.is_some() {
            for active in self.active.values() {
                for ((_, step), state) in &active.steps {
                    let unverified = state.tasks.iter();
                    let unverified = unverified.filter(|task| task.unverified.is_some());
                    if let Some(spec) = active.spec.steps.get(*step as usize) {
                        unverified.for_each(|_| add(active.account, &spec.need));
                    }
                }
            }
        }
    }

    /// Whether the run is also one that an earlier owner may have started.
    fn is_unverified(&self, run: &UnadoptedRun) -> bool {
        let step = run.task.step;
        let active = self.active.get(&step.workflow);
        let state = active.and_then(|active| active.steps.get(&(step.occurrence, step.step)));
        let task = state.and_then(|state| state.tasks.get(run.task.index as usize));
        let unverified = task.and_then(|task| task.unverified.as_ref());
        unverified.is_some_and(|unverified| unverified.run == run.run)
    }

    /// What each account has waiting that could start if no account had a limit.
    fn waiting_by_account(&self) -> SecondaryMap<AccountKey, Resources> {
        let mut waiting = SecondaryMap::new();
        for key in &self.ready {
            let Some(account) = key.account else {
                continue;
            };
            let id = key.step;
            let active = self.active.get(&id.workflow);
            let Some(active) = active.filter(|active| active.recorded) else {
                continue;
            };
            let state = active.steps.get(&(id.occurrence, id.step));
            let spec = active.spec.steps.get(id.step as usize);
            if let (Some(state), Some(spec), Some(sum)) = (state, spec, waiting.entry(account)) {
                let tasks = state.waiting();
                let tasks = tasks.filter(|index| state.tasks[*index as usize].unverified.is_none());
                let tasks = u32::try_from(tasks.count()).unwrap_or(u32::MAX);
                let sum: &mut Resources = sum.or_default();
                *sum = sum.plus(&spec.need.times(tasks));
            }
        }
        waiting
    }

    /// Counts what the accounts have running, before a round or before starts are sent.
    pub(super) fn count_running(&mut self) {
        if self.accounts.configured {
            let empty = super::Accounts::new(self.cfg.account_burst);
            let mut accounts = std::mem::replace(&mut self.accounts, empty);
            accounts.begin_count();
            self.visit_running(|key, need| accounts.add_running(Some(key), need));
            accounts.end_count();
            self.accounts = accounts;
        }
    }

    /// Determines which accounts have more running than their share by weight. `keys` are the steps of
    /// the round.
    pub(super) fn compare_with_weights(&mut self, keys: &[ReadyKey]) {
        if !self.accounts.configured {
            return;
        }
        let workers = self.fleet.iter().filter(|(_, worker)| worker.listed);
        let capacity = workers.fold(Resources::default(), |sum, (_, worker)| {
            sum.plus(&worker.listing.capacity)
        });
        let waiting = keys.iter().filter_map(|key| key.account);
        self.accounts.compare_with_weights(waiting, &capacity);
    }

    /// How many tasks of the step the limit of its account allows to start now; of a gang all or none.
    pub(super) fn allowed_tasks(&self, id: StepId, spec: &StepSpec) -> u32 {
        let account = self.active.get(&id.workflow);
        let account = account.and_then(|active| active.account);
        let allowed = self
            .accounts
            .allowed_tasks(account, &spec.need, spec.tasks.max(1));
        if spec.gang && allowed < spec.tasks {
            return 0;
        }
        allowed
    }

    /// Why the limit of its account holds the step back.
    pub(super) fn limit_block(&self, id: StepId) -> Option<LimitBlock> {
        let key = self.active.get(&id.workflow)?.account;
        let account = self.accounts.get(key)?;
        account.limit()?;
        Some(LimitBlock {
            account: account.name.clone(),
            rule: match account.share {
                Some(_) => "limit of the account",
                None => "limit of the account, whose share for this shard is not known",
            },
            running: account.running,
            allowed: account.allowed,
        })
    }

    /// Whether a placed run may not start because the limit of its account was lowered. What a refused
    /// run needs is not counted any more.
    pub(super) fn refuse_over_limit(&mut self, key: Option<AccountKey>, need: &Resources) -> bool {
        if !self.accounts.limits_lowered || self.accounts.get(key).is_none() {
            return false;
        }
        let account = key.and_then(|key| self.accounts.accounts.get_mut(key));
        let Some(account) = account.filter(|account| account.is_over_limit()) else {
            return false;
        };
        account.running = account.running.minus(need);
        true
    }

    /// Whether limits may have been lowered below what is placed.
    pub(super) fn are_limits_lowered(&self) -> bool {
        self.accounts.configured && self.accounts.limits_lowered
    }

    /// Keeps room under the limit of its account for a gang that waits, against the steps that come
    /// later in the placement order. Otherwise small steps of the account would take the room that
    /// becomes free one run at a time.
    pub(super) fn hold_limit_for_gang(&mut self, id: StepId, spec: &StepSpec, now: Time) {
        /// A gang holds room for this long, and then for as long not, so that one that no capacity is
        /// enough for does not stop its account.
        const HOLD_PERIOD_MS: u128 = 20_000;
        let Some(active) = self.active.get(&id.workflow) else {
            return;
        };
        let waited_ms = now.since(active.accepted_at).as_millis();
        if !(waited_ms / HOLD_PERIOD_MS).is_multiple_of(2) || !self.accounts.configured {
            return;
        }
        let account = active.account;
        let account = account.and_then(|key| self.accounts.accounts.get_mut(key));
        let need = spec.need.times(spec.tasks);
        if let Some(account) = account
            && account.limit().is_some()
            && account.held == Resources::default()
            && need.fits_in(&account.allowed)
        {
            account.held = need;
        }
    }

    /// When a new submission conforms to the guaranteed rate of its account. One that has begun under an
    /// earlier owner does not count again.
    pub(super) fn rate_submission(
        &mut self,
        account: Option<AccountKey>,
        has_begun: bool,
        now: Time,
    ) -> Time {
        if !self.accounts.configured {
            return now;
        }
        let account = account.and_then(|key| self.accounts.accounts.get_mut(key));
        match account {
            None => NEVER,
            Some(account) if has_begun && account.rate.is_positive() => now,
            Some(account) => account.rate.admit(now),
        }
    }

    /// Returns the part of its account's rate that a workflow did not need.
    pub(super) fn refund_rate(&mut self, id: WorkflowId) {
        let key = self.active.get(&id).and_then(|active| active.account);
        if let Some(account) = key.and_then(|key| self.accounts.accounts.get_mut(key)) {
            account.rate.refund();
        }
    }

    /// Returns the part of its account's rate that an ended workflow did not need, if it ended on lent
    /// capacity before it conformed.
    pub(super) fn refund_if_excess(&mut self, id: WorkflowId) {
        let swept_at = self.last_sweep.unwrap_or_default();
        if self.is_excess(id, swept_at) {
            self.refund_rate(id);
        }
    }

    /// Rates the active workflows of accounts whose guaranteed rate has changed. Those that conformed
    /// before keep their place, unless no rate is guaranteed any more.
    pub(super) fn apply_rates(&mut self, now: Time) {
        if !std::mem::take(&mut self.accounts.rates_due) {
            return;
        }
        let were_absent = std::mem::take(&mut self.accounts.were_absent);
        self.accounts.reset_changed_rates(were_absent);
        let accounts = &self.accounts;
        let is_changed = |active: &ActiveWorkflow| {
            let account = accounts.get(active.account);
            were_absent || account.is_none_or(|account| account.rate_changed)
        };
        let changed = self.active.iter().filter(|(_, active)| is_changed(active));
        let mut changed: Vec<(Time, WorkflowId)> = changed
            .map(|(id, active)| (active.accepted_at, *id))
            .collect();
        changed.sort_unstable();
        for (accepted_at, id) in changed {
            let Some(active) = self.active.get(&id) else {
                continue;
            };
            let (account, known) = (active.account, active.guaranteed_at);
            let conformed = known <= now && !were_absent;
            let keeps = conformed || active.has_begun();
            let guaranteed_at = match self.rate_submission(account, keeps, now) {
                _ if !self.accounts.configured => accepted_at,
                at if keeps && at == now => known.min(now),
                at => at,
            };
            if guaranteed_at != known {
                self.dequeue_steps(id);
                if let Some(active) = self.active.get_mut(&id) {
                    active.guaranteed_at = guaranteed_at;
                }
                self.enqueue_steps(id);
            }
        }
        for account in self.accounts.accounts.values_mut() {
            account.rate_changed = false;
        }
    }
}
