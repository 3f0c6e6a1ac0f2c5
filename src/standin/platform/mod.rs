//! The platform's stand-in: table, object store and VM list in memory.

mod http;
mod store;

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

pub use http::serve;
use store::{Budget, Rows};

use super::clock::Clock;
use super::reply::{merge, pause, wait_while};
use crate::model::Time;
use crate::port::BoxFuture;
use crate::port::object_store::ObjectStore;
use crate::port::table::{Row, Table, TableError, Txn};
use crate::port::vm_list::{ListedVm, VmList};

/// The faults of the platform, all set while it runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Switches {
    /// How long each operation takes, in milliseconds; its effect comes halfway.
    pub latency_ms: u64,
    /// Transactions a second; further ones are refused.
    pub writes_per_s: Option<f64>,
    /// Reads and pages of scans a second; further ones are refused.
    pub reads_per_s: Option<f64>,
    /// Refuses every use of the table.
    pub outage: bool,
    /// Refuses every use of the object store.
    pub objects_outage: bool,
    /// Refuses every reading of the VM list.
    pub list_outage: bool,
    /// Holds every operation before its effect for as long as this is set.
    pub hang: bool,
    /// The share of writes whose answers are lost after the effect, from 0 to 1.
    pub lose_answers: f64,
    /// How many of the next writes lose their answers after the effect.
    pub lose_next: u64,
    /// How late the VM list is, in milliseconds.
    pub list_lag_ms: u64,
}

/// What the platform did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Transactions that took effect.
    pub transactions: u64,
    /// Rows that they wrote.
    pub rows_written: u64,
    /// Bytes of the values that they wrote.
    pub bytes_written: u64,
    /// Transactions that met a conflict.
    pub conflicts: u64,
    /// Reads and pages of scans.
    pub reads: u64,
    /// Rows that they returned.
    pub rows_read: u64,
    /// Operations refused by an outage or a budget.
    pub refused: u64,
    /// Answers lost after the effect.
    pub lost_answers: u64,
    /// Objects written.
    pub objects_written: u64,
    /// Objects read.
    pub objects_read: u64,
    /// Rows that the table holds.
    pub rows: u64,
    /// Objects that the object store holds.
    pub objects: u64,
}

/// The platform in memory.
pub struct StandinPlatform {
    clock: Clock,
    switches: watch::Sender<Switches>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    rows: Rows,
    objects: HashMap<String, Vec<u8>>,
    lists: Vec<(Time, Vec<ListedVm>)>,
    writes: Budget,
    reads: Budget,
    counters: Counters,
}

impl Default for StandinPlatform {
    fn default() -> Self {
        Self::new()
    }
}

impl StandinPlatform {
    /// Makes an empty platform without faults.
    pub fn new() -> Self {
        Self {
            clock: Clock::start(),
            switches: watch::Sender::new(Switches::default()),
            state: Mutex::default(),
        }
    }

    /// Changes the switches.
    pub fn update_switches(&self, change: impl FnOnce(&mut Switches)) {
        self.switches.send_modify(change);
    }

    /// Merges a JSON object into the switches.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the object; nothing changes then.
    pub fn switch_json(&self, change: &[u8]) -> Result<(), String> {
        let mut switches = self.switches.borrow().clone();
        merge(&mut switches, change)?;
        self.switches.send_replace(switches);
        Ok(())
    }

    /// Sets the list of VMs as it truly is now.
    pub fn set_vms(&self, vms: Vec<ListedVm>) {
        let now = self.clock.now();
        self.state().lists.push((now, vms));
    }

    /// What the platform did.
    pub fn counters(&self) -> Counters {
        let state = self.state();
        Counters {
            rows: state.rows.count() as u64,
            objects: state.objects.len() as u64,
            ..state.counters
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Waits as the switches ask for before an operation; returns the rest of the latency.
    async fn before(&self) -> u64 {
        let latency_ms = self.switches.borrow().latency_ms;
        pause(latency_ms / 2).await;
        wait_while(&self.switches, |s| s.hang).await;
        latency_ms - latency_ms / 2
    }

    fn refuse_if(&self, down: impl Fn(&Switches) -> bool) -> Result<(), TableError> {
        if down(&self.switches.borrow()) {
            self.state().counters.refused += 1;
            return Err(TableError::Unavailable("outage".to_owned()));
        }
        Ok(())
    }

    fn spend_write(&self) -> Result<(), TableError> {
        let per_s = self.switches.borrow().writes_per_s;
        let now = self.clock.now();
        let mut state = self.state();
        let enough = state.writes.take(per_s, now);
        state.allowed(enough, "write budget exceeded")
    }

    fn spend_read(&self) -> Result<(), TableError> {
        let per_s = self.switches.borrow().reads_per_s;
        let now = self.clock.now();
        let mut state = self.state();
        let enough = state.reads.take(per_s, now);
        state.allowed(enough, "read budget exceeded")
    }

    /// Whether the answer of this write is lost.
    fn loses_answer(&self) -> bool {
        let mut lost = false;
        self.switches.send_if_modified(|s| {
            lost = s.lose_next > 0;
            s.lose_next = s.lose_next.saturating_sub(1);
            false
        });
        lost |= rand::random::<f64>() < self.switches.borrow().lose_answers;
        if lost {
            self.state().counters.lost_answers += 1;
        }
        lost
    }

    async fn written<T>(&self, done: Result<T, TableError>, rest: u64) -> Result<T, TableError> {
        let lost = self.loses_answer();
        pause(rest).await;
        if lost {
            return Err(TableError::Unanswered("the answer was lost".to_owned()));
        }
        done
    }
}

impl State {
    fn allowed(&mut self, enough: bool, cause: &str) -> Result<(), TableError> {
        if enough {
            return Ok(());
        }
        self.counters.refused += 1;
        Err(TableError::Unavailable(cause.to_owned()))
    }

    fn commit(&mut self, txn: &Txn) -> Result<(), TableError> {
        let done = self.rows.commit(txn);
        match &done {
            Ok(()) => self.counters.count(txn),
            Err(TableError::Conflict { .. }) => self.counters.conflicts += 1,
            Err(_) => {}
        }
        done
    }

    fn list(&self, as_of: Time) -> Vec<ListedVm> {
        let known = self.lists.iter().rev().find(|(at, _)| *at <= as_of);
        known.map(|(_, vms)| vms.clone()).unwrap_or_default()
    }
}

impl Counters {
    fn count(&mut self, txn: &Txn) {
        use crate::port::table::Write;
        self.transactions += 1;
        self.rows_written += txn.writes.len() as u64;
        for write in &txn.writes {
            if let Write::Put { value, .. } = write {
                self.bytes_written += value.len() as u64;
            }
        }
    }
}

impl Table for StandinPlatform {
    fn commit<'a>(&'a self, txn: &'a Txn) -> BoxFuture<'a, Result<(), TableError>> {
        Box::pin(async move {
            let rest = self.before().await;
            self.refuse_if(|s| s.outage)?;
            self.spend_write()?;
            let done = self.state().commit(txn);
            self.written(done, rest).await
        })
    }

    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>, TableError>> {
        Box::pin(async move {
            let rest = self.before().await;
            self.refuse_if(|s| s.outage)?;
            self.spend_read()?;
            let row = {
                let mut state = self.state();
                let row = state.rows.read(key);
                state.counters.reads += 1;
                state.counters.rows_read += u64::from(row.is_some());
                row
            };
            pause(rest).await;
            Ok(row)
        })
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
    ) -> BoxFuture<'a, Result<Vec<Row>, TableError>> {
        Box::pin(async move {
            let rest = self.before().await;
            self.refuse_if(|s| s.outage)?;
            self.spend_read()?;
            let page = {
                let mut state = self.state();
                let page = state.rows.scan(prefix, after);
                state.counters.reads += 1;
                state.counters.rows_read += page.len() as u64;
                page
            };
            pause(rest).await;
            Ok(page)
        })
    }
}

impl ObjectStore for StandinPlatform {
    fn put<'a>(&'a self, name: &'a str, bytes: Vec<u8>) -> BoxFuture<'a, Result<(), TableError>> {
        Box::pin(async move {
            let rest = self.before().await;
            self.refuse_if(|s| s.objects_outage)?;
            {
                let mut state = self.state();
                state.objects.insert(name.to_owned(), bytes);
                state.counters.objects_written += 1;
            }
            self.written(Ok(()), rest).await
        })
    }

    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<Option<Vec<u8>>, TableError>> {
        Box::pin(async move {
            let rest = self.before().await;
            self.refuse_if(|s| s.objects_outage)?;
            let object = {
                let mut state = self.state();
                state.counters.objects_read += 1;
                state.objects.get(name).cloned()
            };
            pause(rest).await;
            Ok(object)
        })
    }

    fn delete<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<(), TableError>> {
        Box::pin(async move {
            let rest = self.before().await;
            self.refuse_if(|s| s.objects_outage)?;
            self.state().objects.remove(name);
            self.written(Ok(()), rest).await
        })
    }
}

impl VmList for StandinPlatform {
    fn list(&self) -> BoxFuture<'_, Result<Vec<ListedVm>, TableError>> {
        Box::pin(async move {
            let rest = self.before().await;
            self.refuse_if(|s| s.list_outage)?;
            let lag_ms = self.switches.borrow().list_lag_ms;
            let as_of = Time(self.clock.now().0.saturating_sub(lag_ms * 1_000));
            let vms = self.state().list(as_of);
            pause(rest).await;
            Ok(vms)
        })
    }
}
