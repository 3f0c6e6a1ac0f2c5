//! In-memory stand-in for the platform: table, object store and VM list.

mod http;
mod store;

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

pub use http::serve;
use store::{TableRows, TokenBucket};

use super::clock::JournalClock;
use super::response::{merge_json, sleep_ms, wait_while};
use crate::model::Time;
use crate::port::BoxFuture;
use crate::port::object_store::ObjectStore;
use crate::port::table::{Row, Table, TableError, Txn};
use crate::port::vm_list::{ListedVm, VmList};

/// Faults injected into the platform; all can be changed while it runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Switches {
    /// Latency of each operation, in milliseconds; it takes effect after half of it.
    pub latency_ms: u64,
    /// Maximum transactions per second; further ones are refused. Unlimited if absent.
    pub writes_per_s: Option<f64>,
    /// Maximum reads and scan pages per second; further ones are refused. Unlimited if absent.
    pub reads_per_s: Option<f64>,
    /// Refuses all operations on the table.
    pub outage: bool,
    /// Refuses all operations on the object store.
    pub objects_outage: bool,
    /// Refuses all reads of the VM list.
    pub list_outage: bool,
    /// Blocks all operations before they take effect while set.
    pub hang: bool,
    /// Fraction of writes whose responses are lost after the write took effect, from 0 to 1.
    pub lose_answers: f64,
    /// Number of next writes whose responses are lost after the write took effect.
    pub lose_next: u64,
    /// Lag of the VM list, in milliseconds.
    pub list_lag_ms: u64,
}

/// Counters of the platform's operations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounters {
    /// Committed transactions.
    pub transactions: u64,
    /// Rows written or deleted by committed transactions.
    pub rows_written: u64,
    /// Total size of the values written by committed transactions, in bytes.
    pub bytes_written: u64,
    /// Transactions that failed with a conflict.
    pub conflicts: u64,
    /// Reads and scan pages.
    pub reads: u64,
    /// Rows returned by reads and scans.
    pub rows_read: u64,
    /// Operations refused because of an outage or a rate limit.
    pub refused: u64,
    /// Responses lost after the operation took effect.
    pub lost_answers: u64,
    /// Objects written.
    pub objects_written: u64,
    /// Reads of objects.
    pub objects_read: u64,
    /// Current number of rows in the table.
    pub rows: u64,
    /// Current number of objects in the object store.
    pub objects: u64,
}

/// Stand-in platform: a table, an object store and a VM list in memory.
pub struct StandinPlatform {
    clock: JournalClock,
    switches: watch::Sender<Switches>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    rows: TableRows,
    objects: HashMap<String, Vec<u8>>,
    vm_lists: Vec<(Time, Vec<ListedVm>)>,
    write_tokens: TokenBucket,
    read_tokens: TokenBucket,
    counters: PlatformCounters,
}

impl Default for StandinPlatform {
    fn default() -> Self {
        Self::new()
    }
}

impl StandinPlatform {
    /// Creates an empty platform without faults.
    pub fn new() -> Self {
        Self {
            clock: JournalClock::start(),
            switches: watch::Sender::new(Switches::default()),
            state: Mutex::default(),
        }
    }

    /// Updates the switches with `change`.
    pub fn update_switches(&self, change: impl FnOnce(&mut Switches)) {
        self.switches.send_modify(change);
    }

    /// Merges the members of a JSON object into the switches.
    ///
    /// # Errors
    ///
    /// Returns a description of the problem if the object is invalid; the switches are unchanged
    /// then.
    pub fn merge_switches(&self, change: &[u8]) -> Result<(), String> {
        let mut switches = self.switches.borrow().clone();
        merge_json(&mut switches, change)?;
        self.switches.send_replace(switches);
        Ok(())
    }

    /// Sets the current list of VMs, which readers see after the configured lag.
    pub fn set_vms(&self, vms: Vec<ListedVm>) {
        let now = self.clock.now();
        self.state().vm_lists.push((now, vms));
    }

    /// Current values of the counters.
    pub fn counters(&self) -> PlatformCounters {
        let state = self.state();
        PlatformCounters {
            rows: state.rows.count() as u64,
            objects: state.objects.len() as u64,
            ..state.counters
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Waits for the first half of the latency and while the platform hangs. Returns the remaining
    /// latency in milliseconds.
    async fn begin_operation(&self) -> u64 {
        let latency_ms = self.switches.borrow().latency_ms;
        sleep_ms(latency_ms / 2).await;
        wait_while(&self.switches, |s| s.hang).await;
        latency_ms - latency_ms / 2
    }

    fn check_available(&self, is_down: impl Fn(&Switches) -> bool) -> Result<(), TableError> {
        if is_down(&self.switches.borrow()) {
            self.state().counters.refused += 1;
            return Err(TableError::Unavailable("outage".to_owned()));
        }
        Ok(())
    }

    fn take_write_token(&self) -> Result<(), TableError> {
        let per_s = self.switches.borrow().writes_per_s;
        let now = self.clock.now();
        let mut state = self.state();
        let granted = state.write_tokens.take(per_s, now);
        state.check_rate(granted, "write budget exceeded")
    }

    fn take_read_token(&self) -> Result<(), TableError> {
        let per_s = self.switches.borrow().reads_per_s;
        let now = self.clock.now();
        let mut state = self.state();
        let granted = state.read_tokens.take(per_s, now);
        state.check_rate(granted, "read budget exceeded")
    }

    /// Decides whether the response to this write is lost, and counts down `lose_next`.
    fn should_drop_response(&self) -> bool {
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

    async fn finish_write<T>(
        &self,
        result: Result<T, TableError>,
        remaining_ms: u64,
    ) -> Result<T, TableError> {
        let lost = self.should_drop_response();
        sleep_ms(remaining_ms).await;
        if lost {
            return Err(TableError::Unanswered("the answer was lost".to_owned()));
        }
        result
    }
}

impl State {
    fn check_rate(&mut self, granted: bool, cause: &str) -> Result<(), TableError> {
        if granted {
            return Ok(());
        }
        self.counters.refused += 1;
        Err(TableError::Unavailable(cause.to_owned()))
    }

    fn commit(&mut self, txn: &Txn) -> Result<(), TableError> {
        let result = self.rows.commit(txn);
        match &result {
            Ok(()) => self.counters.count_commit(txn),
            Err(TableError::Conflict { .. }) => self.counters.conflicts += 1,
            Err(_) => {}
        }
        result
    }

    fn vm_list_at(&self, as_of: Time) -> Vec<ListedVm> {
        let list = self.vm_lists.iter().rev().find(|(at, _)| *at <= as_of);
        list.map(|(_, vms)| vms.clone()).unwrap_or_default()
    }
}

impl PlatformCounters {
    fn count_commit(&mut self, txn: &Txn) {
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
            let remaining_ms = self.begin_operation().await;
            self.check_available(|s| s.outage)?;
            self.take_write_token()?;
            let result = self.state().commit(txn);
            self.finish_write(result, remaining_ms).await
        })
    }

    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>, TableError>> {
        Box::pin(async move {
            let remaining_ms = self.begin_operation().await;
            self.check_available(|s| s.outage)?;
            self.take_read_token()?;
            let row = {
                let mut state = self.state();
                let row = state.rows.read(key);
                state.counters.reads += 1;
                state.counters.rows_read += u64::from(row.is_some());
                row
            };
            sleep_ms(remaining_ms).await;
            Ok(row)
        })
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
    ) -> BoxFuture<'a, Result<Vec<Row>, TableError>> {
        Box::pin(async move {
            let remaining_ms = self.begin_operation().await;
            self.check_available(|s| s.outage)?;
            self.take_read_token()?;
            let page = {
                let mut state = self.state();
                let page = state.rows.scan(prefix, after);
                state.counters.reads += 1;
                state.counters.rows_read += page.len() as u64;
                page
            };
            sleep_ms(remaining_ms).await;
            Ok(page)
        })
    }
}

impl ObjectStore for StandinPlatform {
    fn put<'a>(&'a self, name: &'a str, bytes: Vec<u8>) -> BoxFuture<'a, Result<(), TableError>> {
        Box::pin(async move {
            let remaining_ms = self.begin_operation().await;
            self.check_available(|s| s.objects_outage)?;
            {
                let mut state = self.state();
                state.objects.insert(name.to_owned(), bytes);
                state.counters.objects_written += 1;
            }
            self.finish_write(Ok(()), remaining_ms).await
        })
    }

    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<Option<Vec<u8>>, TableError>> {
        Box::pin(async move {
            let remaining_ms = self.begin_operation().await;
            self.check_available(|s| s.objects_outage)?;
            let object = {
                let mut state = self.state();
                state.counters.objects_read += 1;
                state.objects.get(name).cloned()
            };
            sleep_ms(remaining_ms).await;
            Ok(object)
        })
    }

    fn delete<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<(), TableError>> {
        Box::pin(async move {
            let remaining_ms = self.begin_operation().await;
            self.check_available(|s| s.objects_outage)?;
            self.state().objects.remove(name);
            self.finish_write(Ok(()), remaining_ms).await
        })
    }
}

impl VmList for StandinPlatform {
    fn list(&self) -> BoxFuture<'_, Result<Vec<ListedVm>, TableError>> {
        Box::pin(async move {
            let remaining_ms = self.begin_operation().await;
            self.check_available(|s| s.list_outage)?;
            let lag_ms = self.switches.borrow().list_lag_ms;
            let as_of = Time(self.clock.now().0.saturating_sub(lag_ms * 1_000));
            let vms = self.state().vm_list_at(as_of);
            sleep_ms(remaining_ms).await;
            Ok(vms)
        })
    }
}
