//! The workers of a shard, as tracked by the shard's owner.

mod index;
mod load;
mod vacancy;

use std::collections::HashMap;
use std::time::Duration;

use slotmap::new_key_type;

use super::assignment::ShardId;
use super::crash::{LostRun, PROBATION};
use super::ended::{Ended, KnownRun, LeaseEnds, MAX_DELIVERY, RunList, RunState};
use super::engine::{AccountKey, Departure};
use super::policy::URGENT_PRIORITY;
use super::spec::{TaskId, WorkflowId};
use super::urgent_reserve::RESERVED_PERCENT;
use crate::model::{Resources, Time, WorkerName};
use crate::port::executor::WorkerListing;

pub(super) use self::index::Fleet;
pub(super) use self::vacancy::Vacant;

new_key_type! {
    /// The key of a worker in the fleet.
    pub struct WorkerKey;
}

/// How much slower than ours a worker's clock may run, in percent; the platform guarantees at most
/// 2.
const MAX_CLOCK_DRIFT_PERCENT: u64 = 2;

/// The margin added to the end of a lease for the granularity of both clocks, in milliseconds.
const LEASE_MARGIN_MS: u64 = 100;

/// How long a worker is set aside after the first failed request; each further failure doubles it.
const SET_ASIDE_BASE: Duration = Duration::from_millis(500);

/// The maximum time that a worker is set aside. A worker that recovers must be in use again within
/// the platform's limit of 12 s.
const MAX_SET_ASIDE: Duration = Duration::from_secs(4);

/// The number of task failures in a row after which a worker is set aside, since it probably fails
/// every task that it starts.
const MAX_FAILURES_IN_ROW: u32 = 3;

/// The maximum deviation of the clock in a response, in milliseconds: the longest response time and
/// the granularity of both clocks.
const CLOCK_TOLERANCE_MS: u64 = 1_000;

/// How long a run is expected to take whose estimate is not known.
const UNKNOWN_ESTIMATE: Duration = Duration::from_secs(5);

/// A reading of a worker's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ClockReading {
    worker_ms: u64,
    read_at: Time,
}

/// A run for which capacity is reserved on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ReservedRun {
    pub(super) run: u32,
    pub(super) reserved: Resources,
    /// What the run counts for under the limit of its account.
    pub(super) need: Resources,
    pub(super) account: Option<AccountKey>,
    pub(super) state: RunState,
    /// The worker process that has the run, if a response has shown which one.
    pub(super) process: Option<u64>,
    /// The worker process whose crash is blamed on the run if the run has ended with it.
    pub(super) suspected_of: Option<u64>,
    /// The priority of its queue; 0 is the most urgent.
    pub(super) priority: u8,
    pub(super) estimate_ms: u32,
    /// How long the run is expected to take on a worker of speed 1; 0 if that is not known.
    pub(super) expected_ms: u64,
    /// Whether the run went ahead of others because its step had been expired for long.
    pub(super) is_overdue: bool,
    /// Whether the run has no end of its own.
    pub(super) is_long_running: bool,
    pub(super) started_at: Time,
}

impl ReservedRun {
    /// What decides whether the run has ended.
    pub(super) fn known(&self) -> KnownRun {
        KnownRun {
            state: self.state,
            process: self.process,
            sent_at: self.started_at,
        }
    }

    /// Whether the run may be on another process than the known one.
    fn is_on_unknown_process(&self) -> bool {
        self.process.is_none() && self.state != RunState::Assigned
    }
}

/// A run of an active workflow that a worker lists and for which no capacity is reserved. It is being
/// stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct UnadoptedRun {
    pub(super) task: TaskId,
    pub(super) run: u32,
    pub(super) need: Resources,
    pub(super) account: Option<AccountKey>,
}

/// The state of a worker.
#[derive(Clone, Debug)]
pub(super) struct Worker {
    pub(super) listing: WorkerListing,
    /// The part of the stored list of workers that holds this one.
    pub(super) part: u32,
    /// Whether the worker is on the platform's list.
    pub(super) listed: bool,
    /// The shard that its name selects; `None` until that is known.
    pub(super) home: Option<ShardId>,
    /// The owner's fencing tokens for the worker are counted from here.
    pub(super) fence_base: u64,
    /// Set while the worker is being assigned to another shard.
    pub(super) departure: Option<Departure>,
    /// Whether the current worker process has answered a poll, and so knows the owner's fencing
    /// token.
    pub(super) knows_fencing_token: bool,
    pub(super) runs: HashMap<TaskId, ReservedRun>,
    /// The capacity that runs use.
    pub(super) reserved: Resources,
    /// The part of it that urgent runs use.
    urgent: Resources,
    /// The processors that overdue runs use, in thousandths of a core.
    overdue_milli: u32,
    /// Whether the worker is part of the reserve for urgent tasks.
    pub(super) in_urgent_reserve: bool,
    /// What long-running tasks leave to urgent ones, including what urgent runs use.
    pub(super) kept_for_urgent: Resources,
    /// The capacity that waiting gangs reserve in the current placement round.
    reserved_for_gangs: Resources,
    /// Whether a gang reserved capacity in the previous placement round.
    wanted_by_gang: bool,
    /// The number of active runs that are neither confirmed nor adopted; they must end before new
    /// tasks start on the worker.
    pub(super) unknown_runs: usize,
    /// Those of them that belong to active workflows.
    pub(super) unadopted: Vec<UnadoptedRun>,
    /// The highest sequence number of a processed ended run.
    pub(super) processed_sequence: u64,
    /// The sequence number up to which the effects of all ended runs are committed.
    pub(super) committed_sequence: u64,
    /// The first ended run in the last poll response.
    pub(super) first_listed_end: Option<u64>,
    /// Whether the last poll response listed all ended runs.
    pub(super) list_complete: bool,
    /// Whether a poll response has named the worker process in `listing`. Until then, its start time is
    /// only what the platform's list says.
    pub(super) process_confirmed: bool,
    /// When a response or the platform's list indicated a new worker process, until a later poll
    /// confirms the process. A new process numbers its ended runs anew.
    pub(super) process_unconfirmed_since: Option<Time>,
    pub(super) poll_in_flight: bool,
    pub(super) next_poll: Option<Time>,
    /// When the last successful poll was sent.
    pub(super) last_poll: Time,
    /// When all leases that the known process may have been granted have expired.
    pub(super) lease_expires_at: Time,
    /// When a lease was last granted, by this owner or an earlier one.
    last_grant: Option<Time>,
    /// When the known process first responded.
    first_response: Option<Time>,
    /// When the last response arrived.
    last_response: Time,
    /// When the last start request was sent.
    pub(super) last_start: Option<Time>,
    /// The workflow whose runs are on probation, and until when.
    probation: Option<(WorkflowId, Time)>,
    clock: Option<ClockReading>,
    set_aside_until: Time,
    failed_requests: u32,
    /// The number of task failures in a row.
    failures_in_row: u32,
    /// The average ratio of the estimated to the actual run time; 1.0 until known.
    speed: f64,
    /// The number of successful runs.
    successes: u32,
}

impl Worker {
    pub(super) fn new(listing: WorkerListing, listed: bool, now: Time) -> Self {
        Self {
            listing,
            part: 0,
            listed,
            home: None,
            fence_base: 0,
            departure: None,
            knows_fencing_token: false,
            runs: HashMap::new(),
            reserved: Resources::default(),
            urgent: Resources::default(),
            overdue_milli: 0,
            in_urgent_reserve: false,
            kept_for_urgent: Resources::default(),
            reserved_for_gangs: Resources::default(),
            wanted_by_gang: false,
            unknown_runs: 0,
            unadopted: Vec::new(),
            processed_sequence: 0,
            committed_sequence: 0,
            first_listed_end: None,
            list_complete: false,
            process_confirmed: false,
            process_unconfirmed_since: None,
            poll_in_flight: false,
            next_poll: Some(now),
            last_poll: now,
            lease_expires_at: now,
            last_grant: None,
            first_response: None,
            last_response: now,
            last_start: None,
            probation: None,
            clock: None,
            set_aside_until: now,
            failed_requests: 0,
            failures_in_row: 0,
            speed: 1.0,
            successes: 0,
        }
    }

    /// Resets the state for the worker process that sent `list`, and returns the runs that are lost
    /// with the earlier one. Runs that `is_named` in the response, and those whose start may still
    /// reach the new process, are kept.
    pub(super) fn reset_for_process(
        &mut self,
        list: &RunList,
        max_lease_ms: u64,
        is_named: impl Fn(TaskId, u32) -> bool,
        now: Time,
    ) -> Vec<(LostRun, Ended)> {
        let boot = self.listing.boot;
        // The new process has not seen the stop requests.
        for reserved in self.runs.values_mut() {
            if let RunState::Stopping { response_at, .. } = &mut reserved.state {
                *response_at = None;
            }
        }
        let lost = self.take_lost_runs(|task, reserved| {
            let is_named = is_named(task, reserved.run);
            (!is_named).then(|| Ended::by_list(&reserved.known(), list))?
        });
        let mut next = Self::new(self.listing.clone(), self.listed, now);
        next.listing.boot = list.process;
        for (task, mut reserved) in std::mem::take(&mut self.runs) {
            let is_suspect = self.outlived_start(&reserved) && self.lasted(&reserved) < PROBATION;
            if reserved.suspected_of.is_none() && is_suspect {
                reserved.suspected_of = Some(boot);
            }
            next.reserve(task, reserved);
        }
        next.part = self.part;
        (next.home, next.fence_base) = (self.home, self.fence_base);
        next.departure = self.departure;
        (next.speed, next.successes) = (self.speed, self.successes);
        next.poll_in_flight = self.poll_in_flight;
        // The new process may have taken leases that were counted by the clock of the earlier one.
        next.last_grant = self.last_grant;
        next.lease_expires_at = next.lease_ends(max_lease_ms).any_process;
        *self = next;
        lost
    }

    /// The name of the worker, and its process.
    pub(super) fn process(&self) -> (WorkerName, u64) {
        (self.listing.name.clone(), self.listing.boot)
    }

    /// Whether new tasks may start on the worker.
    pub(super) fn is_usable(&self, now: Time) -> bool {
        self.listed
            && self.departure.is_none()
            && self.knows_fencing_token
            && !self.listing.draining
            && self.unknown_runs == 0
            && self.clock.is_some()
            && self.process_unconfirmed_since.is_none()
            && !self.is_unresponsive()
            && now >= self.set_aside_until
    }

    /// The capacity that is reserved neither for runs nor for gangs.
    pub(super) fn free_capacity(&self) -> Resources {
        let unused = self.listing.capacity.minus(&self.reserved);
        unused.minus(&self.reserved_for_gangs)
    }

    /// The capacity without what runs use that are not expected to end.
    pub(super) fn capacity_once_ended(&self, now: Time) -> Resources {
        let lasting = self.runs.values();
        let lasting = lasting.filter(|run| !self.is_expected_to_end(run, now));
        let lasting = lasting.fold(Resources::default(), |sum, run| sum.plus(&run.reserved));
        self.listing.capacity.minus(&lasting)
    }

    /// Whether all runs on the worker are expected to end.
    pub(super) fn is_expected_to_empty(&self, now: Time) -> bool {
        let mut runs = self.runs.values();
        runs.all(|run| self.is_expected_to_end(run, now))
    }

    /// Whether the run is expected to end. One that has taken many times its estimate may take any time.
    fn is_expected_to_end(&self, run: &ReservedRun, now: Time) -> bool {
        /// Estimates are as low as a tenth of the run time.
        const MAX_ESTIMATE_FACTOR: u32 = 10;
        if matches!(run.state, RunState::Stopping { .. }) {
            return true;
        }
        let estimate = match run.estimate_ms {
            0 => UNKNOWN_ESTIMATE,
            estimate_ms => Duration::from_millis(u64::from(estimate_ms)),
        };
        let estimate = estimate.div_f64(self.speed);
        !run.is_long_running && now.since(run.started_at) <= estimate * MAX_ESTIMATE_FACTOR
    }

    /// Whether the runs need more than the capacity, which may have shrunk.
    pub(super) fn is_over_capacity(&self) -> bool {
        !self.reserved.fits_in(&self.listing.capacity)
    }

    /// Reserves capacity for a waiting gang until the next placement round.
    pub(super) fn reserve_for_gang(&mut self, capacity: &Resources) {
        self.reserved_for_gangs = self.reserved_for_gangs.plus(capacity);
    }

    /// The capacity that gangs reserve in the current placement round.
    pub(super) fn reserved_for_gangs(&self) -> &Resources {
        &self.reserved_for_gangs
    }

    /// Removes the reservations for gangs.
    pub(super) fn clear_reservation(&mut self) {
        let reserved = std::mem::take(&mut self.reserved_for_gangs);
        self.wanted_by_gang = reserved != Resources::default();
    }

    /// Whether a gang reserved capacity in the previous placement round.
    pub(super) fn is_wanted_by_gang(&self) -> bool {
        self.wanted_by_gang
    }

    /// How many tasks of this size fit, up to `max`.
    pub(super) fn fitting_tasks(&self, need: &Resources, max: u32) -> u32 {
        fitting_count(need, &self.free_capacity()).min(max)
    }

    /// How many tasks of this size fit, up to `max`, if the reserve for urgent tasks is kept free. A
    /// task that is too large for the rest may use the whole worker.
    pub(super) fn fitting_tasks_beside_reserve(&self, need: &Resources, max: u32) -> u32 {
        if !self.in_urgent_reserve {
            return self.fitting_tasks(need, max);
        }
        let reserve = self.listing.capacity.percent(RESERVED_PERCENT);
        if !need.fits_in(&self.listing.capacity.minus(&reserve)) {
            return self.fitting_tasks(need, max);
        }
        let unused_reserve = reserve.minus(&self.urgent);
        fitting_count(need, &self.free_capacity().minus(&unused_reserve)).min(max)
    }

    /// How many long-running tasks of this size fit, up to `max`.
    pub(super) fn fitting_long_running_tasks(&self, need: &Resources, max: u32) -> u32 {
        let unused = self.kept_for_urgent.minus(&self.urgent);
        fitting_count(need, &self.free_capacity().minus(&unused)).min(max)
    }

    /// The resources that urgent runs use.
    pub(super) fn urgent(&self) -> &Resources {
        &self.urgent
    }

    /// How many tasks of this size would fit if the worker were empty, up to `max`.
    pub(super) fn fitting_tasks_when_empty(&self, need: &Resources, max: u32) -> u32 {
        fitting_count(need, &self.listing.capacity).min(max)
    }

    pub(super) fn reserve(&mut self, task: TaskId, run: ReservedRun) {
        self.release(task);
        self.runs.insert(task, run);
        self.reserved = self.reserved.plus(&run.reserved);
        if run.priority == URGENT_PRIORITY {
            self.urgent = self.urgent.plus(&run.reserved);
        }
        if run.is_overdue {
            self.overdue_milli = self.overdue_milli.saturating_add(run.reserved.cpu_milli);
        }
    }

    pub(super) fn release(&mut self, task: TaskId) -> Option<ReservedRun> {
        let run = self.runs.remove(&task)?;
        self.reserved = self.reserved.minus(&run.reserved);
        if run.priority == URGENT_PRIORITY {
            self.urgent = self.urgent.minus(&run.reserved);
        }
        if run.is_overdue {
            self.overdue_milli = self.overdue_milli.saturating_sub(run.reserved.cpu_milli);
        }
        Some(run)
    }

    /// Checks the clock in a response to a start or stop request, and returns whether it shows that the
    /// known process responded. Such a response does not name the worker process, but the clock of a
    /// new process starts anew.
    pub(super) fn check_clock(&mut self, worker_ms: u64, now: Time) -> bool {
        let Some(reading) = self.clock else {
            return false;
        };
        let elapsed = as_millis(now.since(reading.read_at));
        let earliest = self.earliest_clock_ms(now).unwrap_or(0);
        let latest = reading
            .worker_ms
            .saturating_add(elapsed + CLOCK_TOLERANCE_MS);
        let is_behind = worker_ms.saturating_add(CLOCK_TOLERANCE_MS) < earliest;
        let is_ahead = worker_ms > latest;
        if is_behind || is_ahead {
            tracing::info!(worker = %self.listing.name, worker_ms, expected_ms = earliest,
                "worker clock jumped, its process may have restarted; next poll renews no lease");
            if self.process_unconfirmed_since.is_none() {
                // Beside a long poll that may be in flight: no task starts until the process is known.
                self.poll_in_flight = false;
                self.next_poll = Some(now);
            }
            self.process_unconfirmed_since = Some(now);
            return false;
        }
        self.update_clock(worker_ms, now);
        self.process_unconfirmed_since.is_none()
            && self.first_response.is_some()
            && self.identifiable_at().is_none()
    }

    /// When a poll is due from which on the clock identifies the process; `None` if one has been answered.
    /// The clock of a later process is behind by the time for which this one is known to have run.
    pub(super) fn identifiable_at(&self) -> Option<Time> {
        let at = self.first_response? + Duration::from_millis(2 * CLOCK_TOLERANCE_MS);
        (self.last_poll < at).then_some(at)
    }

    /// The sequence number up to which the worker may forget its ended runs. It is 0 unless the
    /// committed runs certainly ended in the current worker process: a start request may have reached
    /// another one.
    pub(super) fn acknowledged_sequence(&self) -> u64 {
        if self.process_unconfirmed_since.is_some() || self.has_run_on_unknown_process() {
            return 0;
        }
        // The process has forgotten the ends that it no longer lists; a later one may have listed none
        // of its own yet.
        let is_listed = self
            .first_listed_end
            .is_some_and(|first| first <= self.committed_sequence);
        if is_listed {
            self.committed_sequence
        } else {
            0
        }
    }

    /// Whether a run may be on another process than the known one.
    fn has_run_on_unknown_process(&self) -> bool {
        self.runs.values().any(ReservedRun::is_on_unknown_process)
    }

    /// Whether a run on the worker may have a lease after `at`, because it may have been granted to a
    /// process whose clock was not known.
    pub(super) fn may_have_lease_after(&self, at: Time) -> bool {
        self.has_run_on_unknown_process() || self.lease_expires_at > at
    }

    /// Records that an earlier owner may have granted leases until `granted_until`, which expire at
    /// `expires_at` at the latest.
    pub(super) fn inherit_leases(&mut self, granted_until: Time, expires_at: Time) {
        self.last_grant = self.last_grant.max(Some(granted_until));
        self.lease_expires_at = self.lease_expires_at.max(expires_at);
    }

    /// When the leases on the worker have certainly expired.
    pub(super) fn lease_ends(&self, max_lease_ms: u64) -> LeaseEnds {
        let known_process = self.lease_expires_at;
        let any_process = self.last_grant.map_or(known_process, |at| {
            known_process.max(at + MAX_DELIVERY + max_lease_duration(max_lease_ms))
        });
        LeaseEnds {
            known_process,
            any_process,
        }
    }

    /// Records that the worker's clock showed `worker_ms` at `now`.
    pub(super) fn update_clock(&mut self, worker_ms: u64, now: Time) {
        let is_older = self
            .earliest_clock_ms(now)
            .is_some_and(|earliest| earliest > worker_ms);
        // A delayed response carries an older clock; the newer reading is kept.
        if !is_older {
            self.clock = Some(ClockReading {
                worker_ms,
                read_at: now,
            });
        }
    }

    /// The lowest value that the worker's clock can show at `now`, in milliseconds.
    fn earliest_clock_ms(&self, now: Time) -> Option<u64> {
        let reading = self.clock?;
        let elapsed = as_millis(now.since(reading.read_at));
        let counted = elapsed - elapsed * MAX_CLOCK_DRIFT_PERCENT / 100;
        Some(reading.worker_ms.saturating_add(counted))
    }

    /// Grants a lease of `lease_ms` from `now`. Returns its end on the worker's clock, or `None`
    /// while that clock is not known, and records when the lease has certainly expired.
    pub(super) fn grant_lease(&mut self, lease_ms: u64, now: Time) -> Option<u64> {
        let until_ms = self.earliest_clock_ms(now)?.saturating_add(lease_ms);
        let reading = self.clock?;
        let span_ms = until_ms.saturating_sub(reading.worker_ms);
        let expires_at = reading.read_at + max_lease_duration(span_ms);
        self.lease_expires_at = self.lease_expires_at.max(expires_at);
        self.last_grant = Some(now);
        Some(until_ms)
    }

    /// Sets the worker aside after a failed request, with exponential backoff.
    pub(super) fn set_aside(&mut self, now: Time) {
        let factor = 1 << self.failed_requests.min(8);
        let backoff = (SET_ASIDE_BASE * factor).min(MAX_SET_ASIDE);
        self.failed_requests += 1;
        self.set_aside_until = self.set_aside_until.max(now + backoff);
    }

    /// Whether requests to the worker have failed since its last response.
    pub(super) fn is_unresponsive(&self) -> bool {
        self.failed_requests > 0
    }

    /// When the last response arrived.
    pub(super) fn last_response(&self) -> Time {
        self.last_response
    }

    /// Resets the count of failed requests after a response.
    pub(super) fn record_response(&mut self, now: Time) {
        self.failed_requests = 0;
        self.last_response = self.last_response.max(now);
        self.first_response.get_or_insert(now);
    }

    /// Releases the runs that have ended according to `ended`, which are lost.
    pub(super) fn take_lost_runs(
        &mut self,
        ended: impl Fn(TaskId, &ReservedRun) -> Option<Ended>,
    ) -> Vec<(LostRun, Ended)> {
        let runs = self.runs.iter();
        let lost = runs.filter_map(|(task, reserved)| {
            let proof = ended(*task, reserved)?;
            let lost = LostRun {
                task: *task,
                run: reserved.run,
                may_have_started: reserved.state != RunState::Assigned,
                outlived_start: self.outlived_start(reserved),
                lasted: self.lasted(reserved),
            };
            Some((lost, proof))
        });
        let lost: Vec<(LostRun, Ended)> = lost.collect();
        for (lost, _) in &lost {
            self.release(lost.task);
        }
        lost
    }

    /// Releases the runs that have certainly ended although the worker does not respond.
    pub(super) fn take_expired_runs(
        &mut self,
        max_lease_ms: u64,
        now: Time,
    ) -> Vec<(LostRun, Ended)> {
        let leases = self.lease_ends(max_lease_ms);
        self.take_lost_runs(|_, reserved| Ended::by_silence(&reserved.known(), &leases, now))
    }

    /// Whether the known process has confirmed the run, or answered a poll that was sent no earlier
    /// than its start.
    fn outlived_start(&self, run: &ReservedRun) -> bool {
        let is_confirmed = run.process.is_some() || matches!(run.state, RunState::Running(_));
        is_confirmed || self.last_poll >= run.started_at
    }

    /// How long the worker has responded after the start of the run.
    pub(super) fn lasted(&self, run: &ReservedRun) -> Duration {
        match run.state {
            RunState::Assigned | RunState::Starting | RunState::OutcomeUnknown(_) => Duration::ZERO,
            RunState::Running(_) | RunState::Stopping { .. } => {
                self.last_response.since(run.started_at)
            }
        }
    }

    /// Begins the probation of a run of the workflow, during which no other workflow starts a task
    /// on the worker.
    pub(super) fn begin_probation(&mut self, workflow: WorkflowId, now: Time) {
        self.probation = Some((workflow, now + PROBATION));
    }

    /// Whether a run of another workflow is on probation.
    pub(super) fn is_on_probation_for_other(&self, workflow: WorkflowId, now: Time) -> bool {
        self.probation
            .is_some_and(|(on_probation, until)| on_probation != workflow && now < until)
    }

    /// Whether a crash now would be blamed on a run that started recently.
    pub(super) fn has_recent_start(&self, now: Time) -> bool {
        self.last_start.is_some_and(|at| now.since(at) < PROBATION)
    }

    /// Records a task failure, and sets the worker aside after several in a row.
    pub(super) fn record_failure(&mut self, now: Time) {
        self.failures_in_row += 1;
        if self.failures_in_row >= MAX_FAILURES_IN_ROW {
            self.set_aside_until = self.set_aside_until.max(now + MAX_SET_ASIDE);
        }
    }

    /// Records a successful run that took `duration`, and updates the speed of the worker.
    pub(super) fn record_success(&mut self, duration: Duration, estimate_ms: u32) {
        /// The weight of one run in the average; estimates are off by up to a factor of two.
        const WEIGHT: f64 = 0.1;
        /// The number of runs that the initial speed of 1.0 counts for.
        const INITIAL_SPEED_RUNS: u32 = 1;
        self.failures_in_row = 0;
        let duration_ms = duration.as_secs_f64() * 1_000.0;
        if duration_ms > 0.0 && estimate_ms > 0 {
            let speed = (f64::from(estimate_ms) / duration_ms).clamp(0.1, 10.0);
            self.successes += 1;
            let weight = 1.0 / f64::from(self.successes.saturating_add(INITIAL_SPEED_RUNS));
            self.speed += (speed - self.speed) * weight.max(WEIGHT);
        }
    }

    /// The average ratio of the estimated to the actual run time; higher is faster.
    pub(super) fn speed(&self) -> f64 {
        self.speed
    }
}

/// How long a lease of `lease_ms` on a worker's clock lasts at most.
pub(super) fn max_lease_duration(lease_ms: u64) -> Duration {
    let drift_ms =
        lease_ms.saturating_mul(MAX_CLOCK_DRIFT_PERCENT) / (100 - MAX_CLOCK_DRIFT_PERCENT);
    Duration::from_millis(lease_ms.saturating_add(drift_ms + LEASE_MARGIN_MS))
}

/// A duration in whole milliseconds.
pub(super) fn as_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// How many times `need` fits in `capacity`.
pub(super) fn fitting_count(need: &Resources, capacity: &Resources) -> u32 {
    let count = |capacity: u32, need: u32| capacity.checked_div(need).unwrap_or(u32::MAX);
    let cpu = count(capacity.cpu_milli, need.cpu_milli);
    let memory = count(capacity.memory_mib, need.memory_mib);
    let accelerators = count(capacity.accelerators, need.accelerators);
    cpu.min(memory).min(accelerators)
}
