//! Tuning parameters of the [`Scheduler`](super::Scheduler).

use std::time::Duration;

/// Tuning parameters of a scheduler.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use chestnutlug::decide::scheduler::SchedulerConfig;
///
/// let config = SchedulerConfig { aging: Duration::from_secs(60), ..SchedulerConfig::default() };
/// assert!(config.urgent_reserve_permille < 100);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct SchedulerConfig {
    /// Half-life of the resource usage that fair sharing counts.
    pub usage_half_life: Duration,
    /// What a kind is entitled to hold, as a multiple of what it held on average without a backlog.
    pub history_share_factor: u32,
    /// Half-life of that average.
    pub history_half_life: Duration,
    /// How long patient work waits before it is ranked like normal work.
    pub aging: Duration,
    /// Maximum share of the capacity that is kept free for urgent work while there is any, in
    /// thousandths.
    pub urgent_reserve_permille: u32,
    /// How many standard deviations of the processors held by urgent work are kept free for it,
    /// within that maximum.
    pub urgent_headroom_deviations: u32,
    /// How long after the last urgent job this headroom is kept.
    pub urgent_headroom_period: Duration,
    /// Maximum number of queues that one call tries without a placement.
    pub max_scan: usize,
    /// How long urgent work waits before patient work is checkpointed for it.
    pub preempt_after: Duration,
    /// Multiple of its even share of the urgent reserve that each queue of urgent work may hold.
    pub urgent_burst_factor: u32,
    /// How long a job waits before it claims a worker.
    pub claim_after: Duration,
    /// How long a job waits before it claims a worker even if it will fit there only much later.
    pub claim_any_after: Duration,
    /// Minimum duration of a claim, and the maximum time until the fit for claims before
    /// `claim_any_after`.
    pub min_claim_time: Duration,
    /// Maximum share of the processors that claims may wait for at once, in thousandths.
    pub max_claimed_permille: u32,
    /// Time between two escalation steps against a task that uses more than its reservation.
    pub overuse_grace: Duration,
    /// Initial time for which a gang may hold some of the resources that it needs.
    pub gang_hold_timeout: Duration,
    /// Initial backoff of a retry; it doubles with each failure.
    pub retry_base: Duration,
    /// Maximum backoff of a retry.
    pub retry_max: Duration,
    /// Number of retries that a thousand starts of a kind allow.
    pub retry_budget_permille: u32,
    /// Maximum number of retries of a kind in one burst.
    pub retry_burst: u32,
    /// Maximum share of the workers that may be set aside at once, in thousandths.
    pub max_set_aside_permille: u32,
    /// How long a worker is set aside before it is probed; it doubles with each failed probe.
    pub probe_after: Duration,
    /// Maximum length of a renewed balance slice, and the assumed run time of a task that declares
    /// none.
    pub balance_slice: Duration,
}

impl Default for SchedulerConfig {
    fn default() -> Self {
        Self {
            usage_half_life: Duration::from_secs(300),
            history_share_factor: 2,
            history_half_life: Duration::from_secs(3_600),
            aging: Duration::from_secs(600),
            urgent_reserve_permille: 40,
            urgent_headroom_deviations: 6,
            urgent_headroom_period: Duration::from_secs(60),
            max_scan: 512,
            urgent_burst_factor: 4,
            claim_after: Duration::from_secs(1),
            claim_any_after: Duration::from_secs(60),
            min_claim_time: Duration::from_secs(5),
            max_claimed_permille: 50,
            preempt_after: Duration::from_millis(100),
            overuse_grace: Duration::from_secs(2),
            gang_hold_timeout: Duration::from_secs(60),
            retry_base: Duration::from_millis(200),
            retry_max: Duration::from_secs(30),
            retry_budget_permille: 200,
            retry_burst: 100,
            max_set_aside_permille: 200,
            probe_after: Duration::from_secs(30),
            balance_slice: Duration::from_secs(60),
        }
    }
}
