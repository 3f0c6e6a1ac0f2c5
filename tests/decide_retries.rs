//! Tests refusals at submission, retries and restored jobs of the scheduler.

mod decide_support;

use chestnutlug::decide::{AttemptEnd, Policy, RestoredTask, TaskDisposition, TeamLimits};
use chestnutlug::model::{JobSpec, Lifetime, Outcome, Urgency};
use decide_support::{at, cores, decide, scheduler, spec, team};

struct RefusedCase {
    name: &'static str,
    change: fn(&mut JobSpec),
    code: &'static str,
    retry: bool,
    reason: &'static str,
}

#[test]
fn refuses_at_submission() {
    let cases = [
        RefusedCase {
            name: "unknown team",
            change: |spec| spec.team = "nobody".into(),
            code: "unknown_team",
            retry: false,
            reason: "not known",
        },
        RefusedCase {
            name: "unknown kind",
            change: |spec| spec.kind = "nothing".into(),
            code: "unknown_kind",
            retry: false,
            reason: "not known",
        },
        RefusedCase {
            name: "larger than any worker",
            change: |spec| spec.resources = cores(17),
            code: "never_fits",
            retry: false,
            reason: "16000 thousandths of a core, 16384 MiB",
        },
        RefusedCase {
            name: "a gang larger than all workers",
            change: |spec| {
                spec.all_at_once = true;
                spec.tasks = 9;
                spec.resources = cores(8);
            },
            code: "never_fits",
            retry: false,
            reason: "4 such tasks at once would fit, not 9",
        },
        RefusedCase {
            name: "an accelerator where there is none",
            change: |spec| spec.resources.accelerators = 1,
            code: "never_fits",
            retry: false,
            reason: "0 accelerators would fit",
        },
        RefusedCase {
            name: "larger than the quota",
            change: |spec| {
                spec.team = "small".into();
                spec.resources = cores(3);
            },
            code: "over_quota",
            retry: false,
            reason: "holds 0 such tasks",
        },
        RefusedCase {
            name: "a spent balance",
            change: |spec| spec.team = "poor".into(),
            code: "balance_spent",
            retry: false,
            reason: "spent",
        },
        RefusedCase {
            name: "a full queue",
            change: |spec| spec.tasks = 100_001,
            code: "queue_full",
            retry: true,
            reason: "full by 1 tasks",
        },
    ];
    for case in cases {
        let (mut policy, _) = scheduler(2, cores(16));
        let small = TeamLimits {
            quota: cores(2),
            ..team()
        };
        policy.set_team(&"small".into(), &small, at(0));
        let poor = TeamLimits {
            balance_core_ms: 0,
            ..team()
        };
        policy.set_team(&"poor".into(), &poor, at(0));
        let mut job = spec("t0", "swap", Urgency::Normal, 1, cores(1));
        (case.change)(&mut job);
        let refusal = policy.submit(&job, at(1)).unwrap_err();
        assert_eq!(refusal.code, case.code, "{}", case.name);
        assert_eq!(
            refusal.retry_after_ms.is_some(),
            case.retry,
            "{}",
            case.name
        );
        assert!(
            refusal.reason.contains(case.reason),
            "{}: {}",
            case.name,
            refusal.reason
        );
        assert_eq!(policy.load().queued, 0, "{}", case.name);
    }
}

struct Ended {
    name: &'static str,
    idempotent: bool,
    lifetime: Lifetime,
    ends: Vec<AttemptEnd>,
    after: TaskDisposition,
}

#[test]
fn retries_only_idempotent_tasks() {
    let failed = AttemptEnd::Reported(Outcome::Failed);
    let stopped = AttemptEnd::Reported(Outcome::Cancelled);
    let case = |name, idempotent, ends, after| Ended {
        name,
        idempotent,
        lifetime: Lifetime::Batch,
        ends,
        after,
    };
    let cases = [
        case("first failure", true, vec![failed], TaskDisposition::Queued),
        case(
            "last failure",
            true,
            vec![failed; 3],
            TaskDisposition::Ended(Outcome::Failed),
        ),
        case(
            "lost three times",
            true,
            vec![AttemptEnd::Lost; 3],
            TaskDisposition::Ended(Outcome::Unknown),
        ),
        case(
            "stopped by the scheduler",
            true,
            vec![stopped; 9],
            TaskDisposition::Queued,
        ),
        case(
            "non-idempotent failure",
            false,
            vec![failed],
            TaskDisposition::Ended(Outcome::Failed),
        ),
        case(
            "non-idempotent, lost",
            false,
            vec![AttemptEnd::Lost],
            TaskDisposition::Ended(Outcome::Unknown),
        ),
        case(
            "non-idempotent, never ran",
            false,
            vec![AttemptEnd::NeverRan; 9],
            TaskDisposition::Queued,
        ),
        Ended {
            name: "a service is always restarted",
            idempotent: true,
            lifetime: Lifetime::Service,
            ends: vec![failed; 12],
            after: TaskDisposition::Queued,
        },
    ];
    for case in cases {
        let (mut policy, _) = scheduler(20, cores(4));
        let mut job = spec("t0", "swap", Urgency::Normal, 1, cores(1));
        job.idempotent = case.idempotent;
        job.lifetime = case.lifetime;
        let key = policy.submit(&job, at(0)).unwrap();
        let mut after = None;
        for (attempt, &end) in (1..).zip(&case.ends) {
            let now = at(u64::from(attempt) * 60_000);
            assert_eq!(decide(&mut policy, now).len(), 1, "{}", case.name);
            after = Some(policy.attempt_ended(key, 0, attempt, end, now));
        }
        assert_eq!(after, Some(case.after), "{}", case.name);
    }
}

#[test]
fn backs_off_before_a_retry() {
    let (mut policy, _) = scheduler(1, cores(4));
    let key = policy
        .submit(&spec("t0", "swap", Urgency::Normal, 1, cores(1)), at(0))
        .unwrap();
    decide(&mut policy, at(0));
    let end = AttemptEnd::Reported(Outcome::Failed);
    policy.attempt_ended(key, 0, 1, end, at(10));
    assert!(decide(&mut policy, at(100)).is_empty());
    assert_eq!(
        policy.waiting_for(key, at(100)).unwrap(),
        "the backoff before a retry"
    );
    let due = (101..=210).find(|&ms| !decide(&mut policy, at(ms)).is_empty());
    assert!(due.is_some(), "not tried again within the first backoff");
    assert_eq!(policy.load().placed, 1);
}

#[test]
fn restores_beyond_limits_and_capacity_without_further_overcommit() {
    let (mut policy, workers) = scheduler(1, cores(4));
    let mut unknown = spec("stranger", "strange", Urgency::Normal, 4, cores(2));
    let placed = RestoredTask::Placed {
        worker: workers[0],
        reserved: cores(3),
        attempt: 1,
    };
    let tasks = [
        placed,
        placed,
        RestoredTask::Queued { attempts: 0 },
        RestoredTask::Ended(Outcome::Succeeded),
    ];
    let job = policy.restore(&unknown, &tasks, at(0));
    assert_eq!(policy.load().placed, 2);
    assert!(decide(&mut policy, at(1)).is_empty());
    policy.attempt_ended(job, 0, 1, AttemptEnd::Reported(Outcome::Succeeded), at(2));
    assert!(
        decide(&mut policy, at(3)).is_empty(),
        "one core is free, two are needed"
    );
    policy.attempt_ended(job, 1, 1, AttemptEnd::Reported(Outcome::Succeeded), at(4));
    assert!(
        decide(&mut policy, at(4)).is_empty(),
        "the team has no limits"
    );
    assert_eq!(policy.waiting_for(job, at(4)).unwrap(), "the team's quota");
    policy.set_team(&"stranger".into(), &team(), at(5));
    assert_eq!(decide(&mut policy, at(6)).len(), 1);
    unknown.tasks = 1;
    assert_eq!(
        policy.submit(&unknown, at(7)).unwrap_err().code,
        "unknown_kind"
    );
}
