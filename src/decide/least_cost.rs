//! The order in which waiting steps get capacity, by what a delay costs their callers.
//!
//! A result within the latency objective is worth most, one within three times the objective is worth
//! little, and a later one nothing. Under overload, the steps that cannot be in time, and those that
//! keep the most others from being so, wait for the rest.

use std::collections::BinaryHeap;
use std::time::Duration;

use crate::model::Time;

/// A result within this many times the objective is still worth something to its caller.
pub const LATE_FACTOR: u32 = 3;

/// How long a step stays expired before it goes ahead of the others of its priority, so that none
/// waits without bound.
pub const MAX_EXPIRED: Duration = Duration::from_secs(30);

/// Of this many large steps, [`SHIELDED`] are not judged by their work, and count as in time until they
/// expire. Otherwise the largest steps would never be served under overload, and they have to be
/// served at least half as often as others.
const SHIELD_MODULUS: u64 = 8;

/// The part of the run time of a task, in percent, for which capacity counts no more before its
/// deadline: the whole run time on a worker of speed 0.7, less half of that of the others.
const LAST_START_PERCENT: u32 = 90;

/// See [`SHIELD_MODULUS`].
const SHIELDED: u64 = 5;

common! { value
/// How much a result is still worth to its caller, the most first.
pub enum Class {
    /// The objective can still be met.
    InTime,
    /// The result can still arrive within [`LATE_FACTOR`] times the objective.
    Late,
    /// The result will be worth nothing to its caller.
    Expired,
}}

/// The time left for a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// When the objective is missed.
    pub deadline: Time,
    /// When [`LATE_FACTOR`] times the objective is missed.
    pub expires_at: Time,
    /// How long it takes at least from the start of the step to the end of its workflow.
    pub path: Duration,
    /// How long it is expected to take.
    pub expected_path: Duration,
}

impl Timing {
    /// The class of a step that starts now.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use chestnutlug::decide::least_cost::{Class, Timing};
    /// use chestnutlug::model::Time;
    ///
    /// let timing = Timing {
    ///     deadline: Time::from_millis(1_000),
    ///     expires_at: Time::from_millis(3_000),
    ///     path: Duration::from_millis(400),
    ///     expected_path: Duration::from_millis(500),
    /// };
    /// assert_eq!(timing.class(Time::from_millis(600)), Class::InTime);
    /// assert_eq!(timing.class(Time::from_millis(601)), Class::Late);
    /// assert_eq!(timing.class(Time::from_millis(2_601)), Class::Expired);
    /// ```
    pub fn class(&self, now: Time) -> Class {
        let ends_at = now + self.path;
        if ends_at <= self.deadline {
            Class::InTime
        } else if ends_at <= self.expires_at {
            Class::Late
        } else {
            Class::Expired
        }
    }

    /// For how long processors can take up work that ends in `class`. Tasks are not split: the
    /// last ones begin about their run time before the end, when the processors still run others,
    /// on average half of them. A step that starts at once needs no longer.
    fn time_for_others(&self, class: Class, now: Time) -> Duration {
        let until = match class {
            Class::InTime => self.deadline,
            Class::Late | Class::Expired => self.expires_at,
        };
        let time = until.since(now);
        let path = self.expected_path;
        time.saturating_sub(path * LAST_START_PERCENT / 100)
            .max(path / 2)
    }

    /// Whether the step has been expired for [`MAX_EXPIRED`].
    pub fn is_overdue(&self, now: Time) -> bool {
        now + self.path >= self.expires_at + MAX_EXPIRED
    }
}

/// A step that waits for capacity.
#[derive(Clone, Copy, Debug)]
pub struct WaitingStep {
    /// Whether the submission exceeds the guaranteed rate of its account.
    pub is_excess: bool,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether the account has more running than its share by weight.
    pub exceeds_weight: bool,
    /// The time left; `None` for a step without an end that could be late.
    pub timing: Option<Timing>,
    /// When the objective is missed; orders steps that are otherwise equal.
    pub deadline: Time,
    /// The work of the waiting tasks, in thousandths of a core times milliseconds.
    pub work: u64,
    /// The same with the lowest likely run times.
    pub least_work: u64,
    /// Whether the step needs more than is usual for its queue.
    pub is_large: bool,
    /// The index of the workers that can run the step in the list of pools.
    pub pool: usize,
    /// A number that does not depend on the step's size.
    pub hash: u64,
}

impl WaitingStep {
    fn is_shielded(&self) -> bool {
        self.is_large && self.hash % SHIELD_MODULUS < SHIELDED
    }
}

/// The processors of the workers that run the same steps. Times are those of a worker of speed 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pool {
    /// The processors without those of runs that are not expected to end, in thousandths of a core.
    pub cpu_milli: u64,
    /// The processors that runs use which are expected to end.
    pub busy_milli: u64,
    /// The work that is left of these runs, in thousandths of a core times milliseconds.
    pub running_work: u64,
}

impl Pool {
    /// The work that the pool can do for waiting steps in `time`.
    pub fn available(&self, time: Duration) -> u64 {
        let ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let total = self.cpu_milli.saturating_mul(ms);
        let running = self.busy_milli.saturating_mul(ms).min(self.running_work);
        total.saturating_sub(running)
    }

    /// How long the pool takes to do `work` for waiting steps, if that is known.
    pub fn time_for(&self, work: u64) -> Option<Duration> {
        let work = work.saturating_add(self.running_work);
        work.checked_div(self.cpu_milli).map(Duration::from_millis)
    }
}

/// The position of a step in the order; the lowest is first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    is_excess: bool,
    /// False for urgent steps whose result is still worth something: someone waits for it.
    is_patient: bool,
    /// The class after steps were moved.
    pub class: Class,
    priority: u8,
    is_not_overdue: bool,
    exceeds_weight: bool,
    deadline: Time,
}

impl Place {
    /// The position of the step by itself.
    fn of(step: &WaitingStep, overdue_may_go: bool, now: Time) -> Self {
        let is_overdue = step.timing.is_some_and(|timing| timing.is_overdue(now));
        let class = match step.timing {
            Some(_) if is_overdue && overdue_may_go => Class::InTime,
            Some(timing) => match timing.class(now) {
                Class::Late if step.is_shielded() => Class::InTime,
                class => class,
            },
            None => Class::InTime,
        };
        Self {
            is_excess: step.is_excess,
            is_patient: is_patient(step.priority, class),
            class,
            priority: step.priority,
            is_not_overdue: !is_overdue,
            exceeds_weight: step.exceeds_weight,
            deadline: step.deadline,
        }
    }

    /// Whether steps with these positions share what capacity the steps before them leave.
    fn is_of_group(&self, other: &Self) -> bool {
        (self.is_excess, self.class, self.priority)
            == (other.is_excess, other.class, other.priority)
    }
}

/// Sorts steps into the order in which they get capacity, and returns their indexes with their
/// positions. `overdue_may_go` says whether overdue steps go ahead of the others of their priority.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use chestnutlug::decide::least_cost::{Class, Pool, Timing, WaitingStep, order};
/// use chestnutlug::model::Time;
///
/// let now = Time::from_millis(0);
/// let deadline = Time::from_millis(3_000);
/// let path = Duration::from_millis(1_000);
/// let timing = Timing { deadline, expires_at: Time::from_millis(9_000), path, expected_path: path };
/// let step = |work| WaitingStep {
///     is_excess: false,
///     priority: 1,
///     exceeds_weight: false,
///     timing: Some(timing),
///     deadline,
///     work,
///     least_work: work,
///     is_large: false,
///     pool: 0,
///     hash: 7,
/// };
/// let pool = Pool { cpu_milli: 1_000, ..Pool::default() };
/// let steps = [step(1_500_000), step(800_000), step(900_000)];
/// let order = order(&steps, &[pool], true, now);
/// let indexes: Vec<usize> = order.iter().map(|(index, _)| *index).collect();
/// assert_eq!(indexes, [1, 2, 0]);
/// assert_eq!(order[2].1.class, Class::Late);
/// ```
pub fn order(
    steps: &[WaitingStep],
    pools: &[Pool],
    overdue_may_go: bool,
    now: Time,
) -> Vec<(usize, Place)> {
    let places = steps
        .iter()
        .map(|step| Place::of(step, overdue_may_go, now));
    let mut order: Vec<(usize, Place)> = places.enumerate().collect();
    order.sort_by_key(|(index, place)| (*place, *index));
    let mut committed = vec![0; pools.len()];
    for (class, next) in [(Class::InTime, Class::Late), (Class::Late, Class::Expired)] {
        let mut is_moved = false;
        for group in order.chunk_by_mut(|(_, one), (_, other)| one.is_of_group(other)) {
            if group.first().is_some_and(|(_, place)| place.class == class) {
                is_moved |= move_infeasible(group, next, steps, pools, &mut committed, now);
            }
        }
        if is_moved {
            order.sort_by_key(|(index, place)| (*place, *index));
        }
    }
    order
}

/// Moves the steps of a group that need the most work to the class `next` until the rest can end in that
/// of the group (Moore-Hodgson), and adds the work of the rest to `committed`, by pool.
fn move_infeasible(
    group: &mut [(usize, Place)],
    next: Class,
    steps: &[WaitingStep],
    pools: &[Pool],
    committed: &mut [u64],
    now: Time,
) -> bool {
    let mut kept = vec![BinaryHeap::new(); pools.len()];
    let mut is_moved = false;
    for position in 0..group.len() {
        let (index, place) = group[position];
        let step = &steps[index];
        let Some(pool) = pools.get(step.pool).filter(|pool| pool.cpu_milli > 0) else {
            continue;
        };
        // The part of the capacity that overdue steps may use is bounded elsewhere.
        if !place.is_not_overdue {
            continue;
        }
        let (committed, kept) = (&mut committed[step.pool], &mut kept[step.pool]);
        *committed += step.work;
        let Some(timing) = step.timing.filter(|_| place.is_patient) else {
            // Urgent steps get the capacity that becomes free before all others, so that they can be in
            // time on a full fleet.
            continue;
        };
        let (judged_work, until) = if step.is_shielded() {
            (0, Class::Late)
        } else {
            (step.work, place.class)
        };
        kept.push((judged_work, position));
        let available = pool.available(timing.time_for_others(until, now));
        while *committed > available
            && let Some((_, moved)) = kept.pop()
        {
            *committed -= steps[group[moved].0].work;
            let place = &mut group[moved].1;
            place.class = next;
            place.is_patient = is_patient(place.priority, next);
            is_moved = true;
        }
    }
    is_moved
}

/// Whether a step of this priority and class waits for urgent ones.
fn is_patient(priority: u8, class: Class) -> bool {
    /// The priority of urgent work.
    const URGENT: u8 = 0;
    priority != URGENT || class == Class::Expired
}
