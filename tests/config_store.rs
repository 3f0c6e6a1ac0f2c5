//! Versions of a configuration: compare-and-set, lost responses, and the version in force.

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

/// A fault of one commit.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// The commit fails with a definite error and has no effect.
    Down,
    /// The response is lost after the commit took effect.
    LostAfter,
    /// The response is lost and the commit has no effect.
    LostBefore,
}

/// An in-memory table and object store.
#[derive(Default)]
struct Platform {
    rows: Mutex<BTreeMap<String, (Vec<u8>, u64)>>,
    objects: Mutex<BTreeMap<String, Vec<u8>>>,
    /// Faults of the next commits that write a version, in order; `None` means no fault.
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
            // Faults apply only to transactions that write a version.
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
async fn versions_are_numbered_consecutively() {
    let platform = Platform::default();
    assert_eq!(apply(&platform, config(5, 1), 0, 1).await.unwrap(), 1);
    assert_eq!(apply(&platform, config(6, 1), 1, 2).await.unwrap(), 2);
    // An unchanged content creates no new version, regardless of its base.
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
async fn a_conflicting_operator_gets_both_diffs() {
    let platform = Platform::default();
    apply(&platform, config(5, 1), 0, 1).await.unwrap();
    let store = platform.store();
    // Both plans are created before either is committed.
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

    // A conflict with a version that is already in force is detected before any write.
    let error = ApplyPlan::new(store, config(5, 9), Some(1))
        .await
        .unwrap_err();
    assert!(error.to_string().contains("--base 2"), "{error}");
    // An edit without a base version does not replace the version in force.
    let error = ApplyPlan::new(store, config(5, 9), None).await.unwrap_err();
    assert!(matches!(error, ApplyError::Conflict(_)));
    // After the other operator's change is merged, the edit is applied.
    assert_eq!(apply(&platform, config(6, 9), 2, 4).await.unwrap(), 3);
}

struct LostCase {
    name: &'static str,
    faults: &'static [Option<Fault>],
    version: Option<u64>,
}

#[tokio::test(start_paused = true)]
async fn lost_responses_are_resolved_by_reading() {
    let cases = [
        LostCase {
            name: "briefly unavailable",
            faults: &[Some(Fault::Down), Some(Fault::Down)],
            version: Some(2),
        },
        LostCase {
            name: "response lost after the effect",
            faults: &[Some(Fault::LostAfter)],
            version: Some(2),
        },
        LostCase {
            name: "response lost before the effect",
            faults: &[Some(Fault::LostBefore)],
            version: Some(2),
        },
        LostCase {
            name: "two lost responses, then unavailable",
            faults: &[
                Some(Fault::LostBefore),
                Some(Fault::LostAfter),
                Some(Fault::Down),
            ],
            version: Some(2),
        },
        LostCase {
            name: "unavailable for all tries",
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
        assert_eq!(
            current.row_version, expected,
            "{}: must be written once",
            case.name
        );
    }
}

#[tokio::test(start_paused = true)]
async fn an_own_version_with_a_successor_counts_as_applied() {
    let platform = Platform::default();
    let store = platform.store();
    let plan = ApplyPlan::new(store, config(5, 1), None).await.unwrap();
    platform.fail_next(&[Some(Fault::LostAfter)]);
    let first = async {
        let commit_info = signed("ana", 1);
        plan.commit(store, &commit_info).await
    };
    let successor = async {
        // Commits between the lost response and the next try.
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        apply(&platform, config(7, 1), 1, 2).await
    };
    let (ana, ben) = tokio::join!(first, successor);
    assert_eq!((ana.unwrap(), ben.unwrap()), (1, 2));
}

#[tokio::test(start_paused = true)]
async fn an_unknown_outcome_is_reported() {
    let platform = Platform::default();
    platform.fail_next(&[Some(Fault::LostBefore); MAX_TRIES as usize]);
    let error = apply(&platform, config(5, 1), 0, 1).await.unwrap_err();
    assert!(
        matches!(error, ApplyError::OutcomeUnknown { version: 1, .. }),
        "{error}"
    );
}

#[tokio::test]
async fn a_vm_catches_up_by_changes_or_by_the_full_text() {
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
    // If the held text does not belong to its version, the replayed digest differs and the full
    // text is read.
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
fn a_starting_vm_learns_the_version_before_it_accepts_work() {
    let now = Time::from_millis(0);
    let text = config(5, 1).to_text().unwrap();
    // The table contains no configuration.
    let mut learner = ConfigLearner::default();
    assert!(learner.clone().finish(now).is_err());
    learner.note_table_version(0);
    assert_eq!(learner.finish(now).unwrap().version().number, 0);

    // Without the table, every asked peer must reply or fail, and at least one must reply.
    let (a, b) = ("vm-a".into(), "vm-b".into());
    let mut learner = ConfigLearner::default();
    learner.note_peer_asked(&a);
    learner.note_peer_asked(&b);
    learner.note_peer_failed(&a);
    assert!(
        learner.clone().finish(now).is_err(),
        "the reply of b is pending"
    );
    let mut alone = learner.clone();
    alone.note_peer_failed(&b);
    assert!(alone.finish(now).is_err(), "no peer replied");
    learner.note_peer_version(&b, 3);
    assert!(
        learner.clone().finish(now).is_err(),
        "the text of version 3 is missing"
    );
    assert_eq!(learner.offer(3, &text, now), OfferOutcome::Adopted);
    assert_eq!(learner.finish(now).unwrap().version().number, 3);
}

#[test]
fn a_rejected_text_changes_nothing() {
    let now = Time::from_millis(0);
    let mut learner = ConfigLearner::default();
    learner.note_table_version(1);
    assert_eq!(learner.offer(1, "[kind.k]\n", now), OfferOutcome::Adopted);
    let mut current = learner.finish(now).unwrap();
    assert!(matches!(
        current.offer(2, "[kind.k]\nx = 1\n", now),
        OfferOutcome::Rejected(_)
    ));
    assert_eq!(
        current.offer(1, "[kind.other]\n", now),
        OfferOutcome::DigestMismatch
    );
    assert_eq!(current.version().number, 1);
    assert_eq!(current.newer_than(0).map(|(number, _)| number), Some(1));
    assert_eq!(current.newer_than(1), None);
}

/// A step of the property test.
#[derive(Clone, Debug)]
enum Step {
    /// The next version is written to the platform.
    Commit,
    /// The VM is offered the version that is `age` versions behind the newest.
    Offer { age: u64 },
    /// The VM is replaced; the new one learns from the table or from a peer.
    Replace { table: bool, peer_age: u64 },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let age = u64::arbitrary(g) % 4;
        match u8::arbitrary(g) % 4 {
            0 => Self::Commit,
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

/// Returns a replaced VM that has learned its first version, and the version it was told of.
fn replaced(table: bool, newest: u64, peer: u64, now: Time) -> (CurrentConfig, u64) {
    let told = if table { newest } else { peer };
    let mut learner = ConfigLearner::default();
    if table {
        learner.note_table_version(newest);
    }
    learner.note_peer_asked(&"peer".into());
    learner.note_peer_version(&"peer".into(), peer);
    // An older text arrives first.
    if told > 1 {
        learner.offer(told - 1, &text_of(told - 1), now);
    }
    if told > 0 {
        assert!(learner.clone().finish(now).is_err());
        learner.offer(told, &text_of(told), now);
    }
    (learner.finish(now).unwrap(), told)
}

fn never_decreases(steps: Vec<Step>) -> bool {
    let now = Time::from_millis(0);
    let mut newest = 0_u64;
    // The oracle: the highest version that the VM or its predecessors were told of.
    let mut highest = 0;
    let mut vm = replaced(true, 0, 0, now).0;
    for step in steps {
        match step {
            Step::Commit => newest += 1,
            Step::Offer { age } => {
                let version = newest.saturating_sub(age);
                if version > 0 {
                    vm.offer(version, &text_of(version), now);
                }
                highest = highest.max(version);
            }
            Step::Replace { table, peer_age } => {
                // A peer has at least the version of this VM; otherwise this VM could not have it.
                let peer = newest.saturating_sub(peer_age).max(highest);
                let (next, told) = replaced(table, newest, peer, now);
                vm = next;
                highest = highest.max(told);
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
fn the_version_in_force_never_decreases() {
    const CASES: u64 = 200;
    for seed in 0..CASES {
        let mut g = Gen::from_size_and_seed(40, seed);
        let steps = Vec::<Step>::arbitrary(&mut g);
        assert!(never_decreases(steps.clone()), "seed {seed}: {steps:?}");
    }
}

#[test]
fn an_edit_is_reported_once_the_folder_is_stable() {
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
    // Writing the base version is not an edit.
    chestnutlug::config::write_base_version(dir.path(), 3).unwrap();
    assert!(!watcher.observe(FolderWatcher::folder_digest(dir.path()), at(900)));
    watcher.reset();
    assert!(watcher.observe(FolderWatcher::folder_digest(dir.path()), at(1_000)));
}
