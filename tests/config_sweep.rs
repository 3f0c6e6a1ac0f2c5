//! The text of a version is deleted once the history does not contain the version, and not before.

use chestnutlug::config::{
    ApplyError, ApplyPlan, CellConfig, CommitInfo, ConfigStore, HistoryRow, MAX_HISTORY_VERSIONS,
    SWEEP_PREFIX, VERSION_KEY,
};
use chestnutlug::port::BoxFuture;
use chestnutlug::port::table::{Row, Table, TableError, Txn, scan_all};
use chestnutlug::standin::platform::StandinPlatform;

/// Number of versions that are evicted from the history.
const EVICTED: u64 = 3;

fn config(weight: u64) -> CellConfig {
    let text = format!("[team.a]\nbalance_core_hours = 1\nweight = {weight}\n");
    CellConfig::from_text(&text).unwrap()
}

fn store(platform: &StandinPlatform) -> ConfigStore<'_> {
    ConfigStore {
        table: platform,
        objects: platform,
    }
}

async fn commit(platform: &StandinPlatform, plan: &ApplyPlan) -> Result<u64, ApplyError> {
    let commit_info = CommitInfo {
        author: "ana".to_owned(),
        applied_unix_s: 1_800_000_000,
        txn_id: rand::random(),
    };
    plan.commit(store(platform), &commit_info).await
}

async fn plan(platform: &StandinPlatform, weight: u64, base: u64) -> ApplyPlan {
    let plan = ApplyPlan::new(store(platform), config(weight), Some(base));
    plan.await.unwrap()
}

async fn apply(platform: &StandinPlatform, weight: u64, base: u64) {
    let plan = plan(platform, weight, base).await;
    assert_eq!(commit(platform, &plan).await.unwrap(), base + 1);
}

/// Checks that every version in the history is readable and that no other object or sweep row
/// remains.
async fn assert_swept(platform: &StandinPlatform, name: &str) {
    let store = store(platform);
    let history: Vec<HistoryRow> = store.history().await.unwrap();
    for row in &history {
        assert!(
            store.read_text(&row.version_row).await.is_ok(),
            "{name}: {row:?}"
        );
    }
    let held = platform.counters().objects;
    assert_eq!(held, history.len() as u64, "{name}");
    let remaining = scan_all(platform, SWEEP_PREFIX).await.unwrap();
    assert!(remaining.is_empty(), "{name}: {remaining:?}");
}

#[tokio::test]
async fn texts_are_deleted_with_their_versions() {
    let platform = StandinPlatform::new();
    for version in 0..MAX_HISTORY_VERSIONS + EVICTED {
        apply(&platform, version + 1, version).await;
    }
    assert_eq!(platform.counters().objects, MAX_HISTORY_VERSIONS + EVICTED);
    // The object store fails during a sweep, and responses are lost.
    platform.update_switches(|s| s.objects_outage = true);
    assert!(store(&platform).sweep().await.is_err());
    platform.update_switches(|s| s.objects_outage = false);
    for _ in 0..EVICTED {
        platform.update_switches(|s| s.lose_next = 1);
        assert!(store(&platform).sweep().await.is_err());
    }
    // Two operators sweep at once.
    let shared_store = store(&platform);
    let (one, two) = tokio::join!(shared_store.sweep(), shared_store.sweep());
    assert!(one.is_ok() && two.is_ok());
    assert_swept(&platform, "evicted").await;
    let first = store(&platform).history().await.unwrap()[0]
        .version_row
        .version;
    assert_eq!(first, EVICTED + 1);
}

struct Race {
    name: &'static str,
    /// The weights that two operators set, based on the same version.
    weights: [u64; 2],
}

#[tokio::test]
async fn the_text_of_a_lost_race_is_deleted_and_the_winning_text_stays() {
    let cases = [
        Race {
            name: "different texts",
            weights: [2, 3],
        },
        Race {
            name: "identical texts",
            weights: [2, 2],
        },
    ];
    for case in cases {
        let platform = StandinPlatform::new();
        apply(&platform, 1, 0).await;
        let ana = plan(&platform, case.weights[0], 1).await;
        let ben = plan(&platform, case.weights[1], 1).await;
        assert_eq!(commit(&platform, &ana).await.unwrap(), 2, "{}", case.name);
        let loser_result = commit(&platform, &ben).await;
        assert!(
            matches!(loser_result, Err(ApplyError::Conflict(_))),
            "{}",
            case.name
        );
        store(&platform).sweep().await.unwrap();
        assert_swept(&platform, case.name).await;
    }
}

/// A table that rejects transactions that write a version.
struct NoVersions<'a>(&'a StandinPlatform);

impl Table for NoVersions<'static> {
    fn commit<'a>(&'a self, txn: &'a Txn) -> BoxFuture<'a, Result<(), TableError>> {
        let writes_version = txn.writes.iter().any(|write| write.key() == VERSION_KEY);
        match writes_version {
            true => Box::pin(async { Err(TableError::Unavailable("down".to_owned())) }),
            false => self.0.commit(txn),
        }
    }

    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>, TableError>> {
        self.0.read(key)
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
    ) -> BoxFuture<'a, Result<Vec<Row>, TableError>> {
        self.0.scan(prefix, after)
    }
}

#[tokio::test(start_paused = true)]
async fn the_text_of_an_unwritten_version_is_deleted_after_the_next_version() {
    let platform: &'static StandinPlatform = Box::leak(Box::new(StandinPlatform::new()));
    apply(platform, 1, 0).await;
    let given_up = plan(platform, 2, 1).await;
    let table = NoVersions(platform);
    let without = ConfigStore {
        table: &table,
        objects: platform,
    };
    let commit_info = CommitInfo {
        author: "ben".to_owned(),
        applied_unix_s: 1_800_000_000,
        txn_id: 1,
    };
    assert!(given_up.commit(without, &commit_info).await.is_err());
    assert_eq!(platform.counters().objects, 2);
    // Version 2 may still be written.
    assert_eq!(store(platform).sweep().await.unwrap(), 0);
    apply(platform, 3, 1).await;
    assert_eq!(store(platform).sweep().await.unwrap(), 1);
    assert_swept(platform, "never written").await;
}
