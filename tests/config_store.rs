//! Versions of a configuration: compare-and-set, lost answers, and the version in force.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;

use chestnutlug::config::{
    ApplyError, ApplyPlan, CellConfig, CommitInfo, ConfigLearner, ConfigStore, CurrentConfig,
    FolderWatcher, HISTORY_PREFIX, MAX_TRIES, OfferOutcome, VERSION_KEY,
};
use chestnutlug::model::Time;
use chestnutlug::port::BoxFuture;
use chestnutlug::port::object_store::ObjectStore;
use chestnutlug::port::table::{Row, Table, TableError, Txn, Write};
use quickcheck::{Arbitrary, Gen};

/// What happens to one commit.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// Nothing is written, and the answer says so.
    Down,
    /// The answer is lost after the effect.
    LostAfter,
    /// The answer is lost before the effect.
    LostBefore,
}

/// A table and an object store in memory.
#[derive(Default)]
struct Platform {
    rows: Mutex<BTreeMap<String, (Vec<u8>, u64)>>,
    objects: Mutex<BTreeMap<String, Vec<u8>>>,
    /// Faults of the next commits, in order.
    faults: Mutex<VecDeque<Option<Fault>>>,
    object_reads: Mutex<u32>,
}

impl Platform {
    fn store(&self) -> ConfigStore<'_> {
        ConfigStore {
            table: self,
            objects: self,
        }
    }

    fn fail_next(&self, faults: &[Option<Fault>]) {
        self.faults.lock().unwrap().extend(faults);
    }

    fn take_effect(&self, txn: &Txn) -> Result<(), TableError> {
        let mut rows = self.rows.lock().unwrap();
        for condition in &txn.conditions {
            let version = rows.get(&condition.key).map_or(0, |(_, version)| *version);
            if version != condition.version {
                let key = condition.key.clone();
                return Err(TableError::Conflict { key });
            }
        }
        for write in &txn.writes {
            match write {
                Write::Put { key, value } => {
                    let row = rows.entry(key.clone()).or_default();
                    *row = (value.clone(), row.1 + 1);
                }
                Write::Delete { key } => {
                    rows.remove(key);
                }
            }
        }
        Ok(())
    }
}

impl Table for Platform {
    fn commit<'a>(&'a self, txn: &'a Txn) -> BoxFuture<'a, Result<(), TableError>> {
        Box::pin(async move {
            // Faults are meant for the transactions that write a version.
            let writes_version = txn.writes.iter().any(|write| write.key() == VERSION_KEY);
            let next = || self.faults.lock().unwrap().pop_front().flatten();
            let fault = writes_version.then(next).flatten();
            let lost = || TableError::Unanswered("lost".to_owned());
            match fault {
                None => self.take_effect(txn),
                Some(Fault::Down) => Err(TableError::Unavailable("down".to_owned())),
                Some(Fault::LostBefore) => Err(lost()),
                Some(Fault::LostAfter) => {
                    let _ = self.take_effect(txn);
                    Err(lost())
                }
            }
        })
    }

    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>, TableError>> {
        Box::pin(async move {
            let rows = self.rows.lock().unwrap();
            Ok(rows.get(key).map(|(value, version)| Row {
                key: key.to_owned(),
                value: value.clone(),
                version: *version,
            }))
        })
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
    ) -> BoxFuture<'a, Result<Vec<Row>, TableError>> {
        Box::pin(async move {
            let rows = self.rows.lock().unwrap();
            let within = rows.iter().filter(|(key, _)| key.starts_with(prefix));
            let later = within.filter(|(key, _)| after.is_none_or(|after| key.as_str() > after));
            let page = later.take(chestnutlug::port::table::MAX_PAGE_ROWS);
            let page = page.map(|(key, (value, version))| Row {
                key: key.clone(),
                value: value.clone(),
                version: *version,
            });
            Ok(page.collect())
        })
    }
}

impl ObjectStore for Platform {
    fn put<'a>(&'a self, name: &'a str, bytes: Vec<u8>) -> BoxFuture<'a, Result<(), TableError>> {
        Box::pin(async move {
            self.objects.lock().unwrap().insert(name.to_owned(), bytes);
            Ok(())
        })
    }

    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<Option<Vec<u8>>, TableError>> {
        Box::pin(async move {
            *self.object_reads.lock().unwrap() += 1;
            Ok(self.objects.lock().unwrap().get(name).cloned())
        })
    }

    fn delete<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<(), TableError>> {
        Box::pin(async move {
            self.objects.lock().unwrap().remove(name);
            Ok(())
        })
    }
}

fn config(balance: u32, weight: u32) -> CellConfig {
    let text = format!("[team.a]\nbalance_core_hours = {balance}\nweight = {weight}\n");
    CellConfig::from_text(&text).unwrap()
}

fn signed(author: &str, txn_id: u64) -> CommitInfo {
    CommitInfo {
        author: author.to_owned(),
        applied_unix_s: 1_800_000_000,
        txn_id,
    }
}

async fn apply(
    platform: &Platform,
    config: CellConfig,
    base: u64,
    txn_id: u64,
) -> Result<u64, ApplyError> {
    let plan = ApplyPlan::new(platform.store(), config, Some(base)).await?;
    plan.commit(platform.store(), &signed("ana", txn_id)).await
}

#[tokio::test]
async fn versions_follow_each_other() {
    let platform = Platform::default();
    assert_eq!(apply(&platform, config(5, 1), 0, 1).await.unwrap(), 1);
    assert_eq!(apply(&platform, config(6, 1), 1, 2).await.unwrap(), 2);
    // The same content is no new version, whatever it was based on.
    assert_eq!(apply(&platform, config(6, 1), 0, 3).await.unwrap(), 2);

    let store = platform.store();
    assert_eq!(store.config(1).await.unwrap(), config(5, 1));
    assert_eq!(store.config(2).await.unwrap(), config(6, 1));
    let history = store.history().await.unwrap();
    let authors: Vec<_> = history
        .iter()
        .map(|row| (row.version_row.version, &*row.version_row.author))
        .collect();
    assert_eq!(authors, [(1, "ana"), (2, "ana")]);
    let changes = history[1].changes.as_ref().unwrap().to_string();
    assert_eq!(changes, "~ team.a.balance_core_hours = 5.0 -> 6.0\n");
}

#[tokio::test]
async fn a_racing_operator_gets_both_differences() {
    let platform = Platform::default();
    apply(&platform, config(5, 1), 0, 1).await.unwrap();
    let store = platform.store();
    // Both plans are made before either is written.
    let ana = ApplyPlan::new(store, config(6, 1), Some(1)).await.unwrap();
    let ben = ApplyPlan::new(store, config(5, 9), Some(1)).await.unwrap();
    assert_eq!(ana.commit(store, &signed("ana", 2)).await.unwrap(), 2);
    let error = ben.commit(store, &signed("ben", 3)).await.unwrap_err();
    let ApplyError::Conflict(conflict) = error else {
        panic!("{error}");
    };
    assert_eq!(
        (conflict.base, conflict.in_force, &*conflict.author),
        (Some(1), 2, "ana")
    );
    assert_eq!(
        conflict.theirs.to_string(),
        "~ team.a.balance_core_hours = 5.0 -> 6.0\n"
    );
    assert_eq!(conflict.ours.to_string(), "~ team.a.weight = 1 -> 9\n");
    assert_eq!(store.config(2).await.unwrap(), config(6, 1));

    // The same conflict is noticed before writing, where the other was first.
    let error = ApplyPlan::new(store, config(5, 9), Some(1))
        .await
        .unwrap_err();
    assert!(error.to_string().contains("--base 2"), "{error}");
    // An edit from scratch does not replace a version that it has not seen.
    let error = ApplyPlan::new(store, config(5, 9), None).await.unwrap_err();
    assert!(matches!(error, ApplyError::Conflict(_)));
    // After taking the other's change in, it is applied.
    assert_eq!(apply(&platform, config(6, 9), 2, 4).await.unwrap(), 3);
}

struct LostCase {
    name: &'static str,
    faults: &'static [Option<Fault>],
    version: Option<u64>,
}

#[tokio::test(start_paused = true)]
async fn lost_answers_are_resolved_by_reading() {
    let cases = [
        LostCase {
            name: "down for a moment",
            faults: &[Some(Fault::Down), Some(Fault::Down)],
            version: Some(2),
        },
        LostCase {
            name: "lost after the effect",
            faults: &[Some(Fault::LostAfter)],
            version: Some(2),
        },
        LostCase {
            name: "lost before the effect",
            faults: &[Some(Fault::LostBefore)],
            version: Some(2),
        },
        LostCase {
            name: "lost twice, then down",
            faults: &[
                Some(Fault::LostBefore),
                Some(Fault::LostAfter),
                Some(Fault::Down),
            ],
            version: Some(2),
        },
        LostCase {
            name: "down for long",
            faults: &[Some(Fault::Down); MAX_TRIES as usize],
            version: None,
        },
    ];
    for case in cases {
        let platform = Platform::default();
        apply(&platform, config(5, 1), 0, 1).await.unwrap();
        platform.fail_next(case.faults);
        let applied = apply(&platform, config(6, 1), 1, 2).await;
        assert_eq!(
            applied.as_ref().ok(),
            case.version.as_ref(),
            "{}",
            case.name
        );
        let current = platform.store().current_version().await.unwrap().unwrap();
        let expected = case.version.unwrap_or(1);
        assert_eq!(current.row.version, expected, "{}", case.name);
        assert_eq!(current.row_version, expected, "{}: written once", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn an_own_version_that_was_already_followed_counts_as_applied() {
    let platform = Platform::default();
    let store = platform.store();
    let plan = ApplyPlan::new(store, config(5, 1), None).await.unwrap();
    platform.fail_next(&[Some(Fault::LostAfter)]);
    let committed = async {
        let commit_info = signed("ana", 1);
        plan.commit(store, &commit_info).await
    };
    let follower = async {
        // Comes between the lost answer and the next try.
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        apply(&platform, config(7, 1), 1, 2).await
    };
    let (ana, ben) = tokio::join!(committed, follower);
    assert_eq!((ana.unwrap(), ben.unwrap()), (1, 2));
}

#[tokio::test(start_paused = true)]
async fn an_open_end_is_said_so() {
    let platform = Platform::default();
    platform.fail_next(&[Some(Fault::LostBefore); MAX_TRIES as usize]);
    let error = apply(&platform, config(5, 1), 0, 1).await.unwrap_err();
    assert!(
        matches!(error, ApplyError::OutcomeUnknown { version: 1, .. }),
        "{error}"
    );
}

#[tokio::test]
async fn a_vm_catches_up_by_changes_or_by_the_whole_text() {
    let platform = Platform::default();
    let store = platform.store();
    for version in 1..=20 {
        let config = config(4 + u32::try_from(version).unwrap(), 1);
        apply(&platform, config, version - 1, version)
            .await
            .unwrap();
    }
    let text = |version: u32| config(4 + version, 1).to_text().unwrap();
    *platform.object_reads.lock().unwrap() = 0;
    let newer = store.newer_than((17, &text(17))).await.unwrap();
    assert_eq!(newer, Some((20, text(20))));
    assert_eq!(*platform.object_reads.lock().unwrap(), 0);

    let newer = store.newer_than((1, &text(1))).await.unwrap();
    assert_eq!(newer, Some((20, text(20))));
    assert_eq!(*platform.object_reads.lock().unwrap(), 1);
    // A text that does not match its number is not built upon.
    let newer = store.newer_than((19, &text(3))).await.unwrap();
    assert_eq!(newer, Some((20, text(20))));
    assert_eq!(store.newer_than((20, &text(20))).await.unwrap(), None);

    let rows = platform.rows.lock().unwrap();
    assert_eq!(
        rows.keys()
            .filter(|key| key.starts_with(HISTORY_PREFIX))
            .count(),
        20
    );
}

#[test]
fn a_vm_that_starts_learns_before_it_takes_work() {
    let now = Time::from_millis(0);
    let text = config(5, 1).to_text().unwrap();
    // The table says that there is no configuration.
    let mut learning = ConfigLearner::default();
    assert!(learning.clone().finish(now).is_err());
    learning.note_table_version(0);
    assert_eq!(learning.finish(now).unwrap().version().number, 0);

    // With the table down, every peer that is asked has to answer or fail, and one has to answer.
    let (a, b) = ("vm-a".into(), "vm-b".into());
    let mut learning = ConfigLearner::default();
    learning.note_peer_asked(&a);
    learning.note_peer_asked(&b);
    learning.note_peer_failed(&a);
    assert!(learning.clone().finish(now).is_err(), "b has not answered");
    let mut alone = learning.clone();
    alone.note_peer_failed(&b);
    assert!(alone.finish(now).is_err(), "no peer answered");
    learning.note_peer_version(&b, 3);
    assert!(
        learning.clone().finish(now).is_err(),
        "version 3 is not held yet"
    );
    assert_eq!(learning.offer(3, &text, now), OfferOutcome::Adopted);
    assert_eq!(learning.finish(now).unwrap().version().number, 3);
}

#[test]
fn a_text_that_is_not_accepted_changes_nothing() {
    let now = Time::from_millis(0);
    let mut learning = ConfigLearner::default();
    learning.note_table_version(1);
    assert_eq!(learning.offer(1, "[kind.k]\n", now), OfferOutcome::Adopted);
    let mut in_force = learning.finish(now).unwrap();
    assert!(matches!(
        in_force.offer(2, "[kind.k]\nx = 1\n", now),
        OfferOutcome::Rejected(_)
    ));
    assert_eq!(
        in_force.offer(1, "[kind.other]\n", now),
        OfferOutcome::DigestMismatch
    );
    assert_eq!(in_force.version().number, 1);
    assert_eq!(in_force.newer_than(0).map(|(number, _)| number), Some(1));
    assert_eq!(in_force.newer_than(1), None);
}

/// A step of a VM's life.
#[derive(Clone, Debug)]
enum Step {
    /// The next version is accepted by the platform.
    Accept,
    /// The VM is offered a version, by its age from the newest.
    Offer { age: u64 },
    /// The VM is replaced; the new one learns from the table, or from a peer.
    Replace { table: bool, peer_age: u64 },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let age = u64::arbitrary(g) % 4;
        match u8::arbitrary(g) % 4 {
            0 => Self::Accept,
            1 | 2 => Self::Offer { age },
            _ => Self::Replace {
                table: bool::arbitrary(g),
                peer_age: age,
            },
        }
    }
}

fn text_of(version: u64) -> String {
    let weight = u32::try_from(version).unwrap() + 1;
    config(5, weight).to_text().unwrap()
}

/// A VM that is ready after its replacement, with what it heard of.
fn replaced(table: bool, newest: u64, peer: u64, now: Time) -> (CurrentConfig, u64) {
    let heard = if table { newest } else { peer };
    let mut learning = ConfigLearner::default();
    if table {
        learning.note_table_version(newest);
    }
    learning.note_peer_asked(&"peer".into());
    learning.note_peer_version(&"peer".into(), peer);
    // An old text arrives first.
    if heard > 1 {
        learning.offer(heard - 1, &text_of(heard - 1), now);
    }
    if heard > 0 {
        assert!(learning.clone().finish(now).is_err());
        learning.offer(heard, &text_of(heard), now);
    }
    (learning.finish(now).unwrap(), heard)
}

fn never_goes_back(steps: Vec<Step>) -> bool {
    let now = Time::from_millis(0);
    let mut newest = 0_u64;
    // The naive oracle: the highest version that the VM was ever told of.
    let mut highest = 0;
    let mut vm = replaced(true, 0, 0, now).0;
    for step in steps {
        match step {
            Step::Accept => newest += 1,
            Step::Offer { age } => {
                let version = newest.saturating_sub(age);
                if version > 0 {
                    vm.offer(version, &text_of(version), now);
                }
                highest = highest.max(version);
            }
            Step::Replace { table, peer_age } => {
                // A peer has at least what this VM had, or this VM would not have it.
                let peer = newest.saturating_sub(peer_age).max(highest);
                let (next, heard) = replaced(table, newest, peer, now);
                vm = next;
                highest = highest.max(heard);
            }
        }
        if vm.version().number != highest {
            return false;
        }
        if highest > 0 && *vm.version().text != *text_of(highest) {
            return false;
        }
    }
    true
}

#[test]
fn a_version_in_force_never_goes_back() {
    const CASES: u64 = 200;
    for seed in 0..CASES {
        let mut g = Gen::from_size_and_seed(40, seed);
        let steps = Vec::<Step>::arbitrary(&mut g);
        assert!(never_goes_back(steps.clone()), "seed {seed}: {steps:?}");
    }
}

#[test]
fn an_edit_is_reported_once_it_is_complete() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("10.toml");
    let at = Time::from_millis;
    let mut watcher = FolderWatcher::default();
    std::fs::write(&file, "[team.a]\n").unwrap();
    assert!(!watcher.observe(FolderWatcher::folder_digest(dir.path()), at(0)));
    std::fs::write(&file, "[team.a]\nbalance_core_hours = 1\n").unwrap();
    assert!(!watcher.observe(FolderWatcher::folder_digest(dir.path()), at(200)));
    assert!(!watcher.observe(FolderWatcher::folder_digest(dir.path()), at(400)));
    assert!(watcher.observe(FolderWatcher::folder_digest(dir.path()), at(500)));
    // The note of the base is no edit.
    chestnutlug::config::write_base_version(dir.path(), 3).unwrap();
    assert!(!watcher.observe(FolderWatcher::folder_digest(dir.path()), at(900)));
    watcher.reset();
    assert!(watcher.observe(FolderWatcher::folder_digest(dir.path()), at(1_000)));
}
