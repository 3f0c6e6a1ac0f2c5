//! An edit of the configuration is in force on all VMs within the target time: idle, under load and
//! with a slow platform.

use chestnutlug::bench::spread::{Params, run};

#[tokio::test(flavor = "multi_thread")]
async fn edit_is_in_force_on_all_vms_within_the_target() {
    let params = Params {
        vms: 7,
        teams: 670,
        edits: 4,
        slow_latency_ms: 100,
        load_per_s: 100,
    };
    let report = run(&params).await.unwrap();
    let cases: Vec<&str> = report.cases.iter().map(|case| case.case).collect();
    assert_eq!(cases, ["idle", "under load", "slow platform"]);
    for case in &report.cases {
        println!("{case:?}");
        assert_eq!((case.edits, case.late), (4, 0), "{case:?}");
        assert_eq!(case.work_not_finished, 0, "{case:?}");
        assert_eq!(
            case.work_finished > 0,
            case.case == "under load",
            "{case:?}"
        );
    }
}
