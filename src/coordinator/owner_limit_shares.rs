//! Shares of accounts' limits that the owner sets in its engine.

use super::event::LimitShareEvent;
use super::owner::WorkflowOwner;
use crate::metrics::Counter;
use crate::model::Time;
use crate::port::record_store::{StoreError, StoreReply, Transaction};
use crate::workflow::EnginePolicies;

impl WorkflowOwner {
    /// Applies a configuration, and the shares of accounts that are new in it.
    pub(super) fn apply_policies(&mut self, policies: EnginePolicies, now: Time) {
        self.engine.set_policies(policies);
        self.limit_shares.resend_usable();
        self.update_limit_shares(false, now);
    }

    pub(super) fn handle_limit_shares(&mut self, event: LimitShareEvent, now: Time) {
        match event {
            LimitShareEvent::Records(records, complete) => {
                self.limit_shares.apply_records(&records, complete);
            }
            LimitShareEvent::Decide(tx) => {
                // A failed receiver has been stopped together with its owner.
                let _ = tx.send(self.update_limit_shares(true, now));
            }
            LimitShareEvent::Written(result) => {
                self.count_limit_share_write(&result);
                let summary = self.limit_shares.finish_write(&result, now);
                let metrics = &self.ports.metrics;
                metrics.count(Counter::LimitSharesRaised, summary.raised);
                metrics.count(Counter::LimitSharesLowered, summary.lowered);
                self.update_limit_shares(false, now);
            }
        }
    }

    /// Sets the shares that the engine may use. Returns the transaction to send, if any, and whether the
    /// owner still has to record its epoch.
    fn update_limit_shares(&mut self, may_write: bool, now: Time) -> (Option<Transaction>, bool) {
        let loads = self.engine.account_loads();
        let update = self.limit_shares.update(&loads, now, may_write);
        for (account, share) in update.usable {
            self.engine.set_limit_share(&account, share);
        }
        (update.write, self.limit_shares.is_fencing(&loads))
    }

    fn count_limit_share_write(&self, result: &Result<StoreReply, StoreError>) {
        let counter = match result {
            Ok(StoreReply::Committed { .. }) => Counter::LimitShareWrites,
            Ok(StoreReply::Conflict { .. }) => Counter::LimitShareConflicts,
            Ok(_) | Err(_) => Counter::LimitShareErrors,
        };
        self.ports.metrics.count(counter, 1);
    }
}
