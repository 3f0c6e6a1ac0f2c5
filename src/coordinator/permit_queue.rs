//! A priority queue of permit requests, which assigns them to the VMs that send them.
//!
//! The permit service handles one request of a VM at a time, so each VM gets one request at a time, the
//! most urgent first, unless another has waited for long. Some VMs are reserved for short requests, so
//! that urgent short requests find an idle VM. Long requests of gangs leave a part of the other VMs to
//! other steps that wait.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::model::{Time, WorkerName};
use crate::workflow::{MAX_SHORT_PERMIT_REQUEST, StepId};

/// One of this many VMs is reserved for short requests, and at least one if there are two or more.
const VMS_PER_RESERVED: usize = 6;

/// The part of the VMs for long requests, in percent, that gangs use while a long request of another step
/// waits for longer than [`MAX_BEHIND_GANGS`]. A request of a gang takes four times as long as others, so
/// that a few dozen waiting gangs would leave the others without permits.
const GANG_VMS_PERCENT: usize = 60;

/// How long a long request waits before gangs leave VMs to it. It is a third of the 3 s that callers of
/// such steps allow beyond the run time.
const MAX_BEHIND_GANGS: Duration = Duration::from_secs(1);

/// A request that has been queued for longer is sent before more urgent ones, so that many of these do
/// not hold it up for ever.
const MAX_QUEUED: Duration = Duration::from_secs(3);

/// How long a VM gets no requests after a failed one.
const FAILED_VM_BACKOFF: Duration = Duration::from_secs(2);

/// A request for permits to run a step on workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitRequest {
    /// The step.
    pub step: StepId,
    /// The workers to request permits for.
    pub workers: Vec<WorkerName>,
    /// The estimated time that the service takes, in milliseconds.
    pub takes_ms: u64,
    /// The priority of the queue; 0 is the most urgent.
    pub priority: u8,
    /// Whether the step is a gang.
    pub gang: bool,
}

impl PermitRequest {
    fn is_long(&self) -> bool {
        Duration::from_millis(self.takes_ms) > MAX_SHORT_PERMIT_REQUEST
    }
}

/// A request that a VM has sent.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    is_long: bool,
    gang: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Sender {
    in_flight: Option<InFlight>,
    backoff_until: Time,
}

/// The queued requests and the VMs that send them.
///
/// # Examples
///
/// ```
/// use chestnutlug::coordinator::permit_queue::{PermitQueue, PermitRequest};
/// use chestnutlug::model::Time;
/// use chestnutlug::workflow::{StepId, WorkflowId};
///
/// let step = StepId { workflow: WorkflowId(1), occurrence: 0, step: 0 };
/// let mut queue = PermitQueue::default();
/// queue.set_vms(&["127.0.0.1:1".parse().unwrap()]);
/// let request = PermitRequest { step, workers: Vec::new(), takes_ms: 5, priority: 0, gang: false };
/// queue.push(request, Time::default());
/// let (vm, request) = queue.next(Time::default()).unwrap();
/// assert_eq!(request.step, step);
/// assert!(queue.next(Time::default()).is_none());
/// queue.finished(vm, true, Time::default());
/// ```
#[derive(Debug, Default)]
pub struct PermitQueue {
    queued: BTreeMap<(u8, u64), (PermitRequest, Time)>,
    /// The number of requests pushed so far, which keeps requests of one priority in order.
    pushed: u64,
    senders: BTreeMap<SocketAddr, Sender>,
}

impl PermitQueue {
    /// Sets the VMs that send requests.
    pub fn set_vms(&mut self, vms: &[SocketAddr]) {
        self.senders
            .retain(|vm, sender| vms.contains(vm) || sender.in_flight.is_some());
        for vm in vms {
            self.senders.entry(*vm).or_default();
        }
    }

    /// Adds a request.
    pub fn push(&mut self, request: PermitRequest, now: Time) {
        self.pushed += 1;
        let key = (request.priority, self.pushed);
        self.queued.insert(key, (request, now));
    }

    /// Takes the next request to send and the VM that sends it.
    pub fn next(&mut self, now: Time) -> Option<(SocketAddr, PermitRequest)> {
        let usable = |sender: &Sender| sender.backoff_until <= now;
        let vms = self
            .senders
            .values()
            .filter(|sender| usable(sender))
            .count();
        let reserved = if vms > 1 {
            vms.div_ceil(VMS_PER_RESERVED)
        } else {
            0
        };
        let long_in_flight = self.senders.values();
        let long_in_flight = long_in_flight.filter_map(|sender| sender.in_flight);
        let long_in_flight = long_in_flight.filter(|request| request.is_long);
        let (gangs, others): (Vec<_>, Vec<_>) = long_in_flight.partition(|request| request.gang);
        let long_vms = vms.saturating_sub(reserved);
        let allow_long = gangs.len() + others.len() < long_vms;
        let waits_long = |(request, queued_at): &&(PermitRequest, Time)| {
            request.is_long() && !request.gang && now.since(*queued_at) > MAX_BEHIND_GANGS
        };
        let other_waits_long = self.queued.values().any(|queued| waits_long(&queued));
        let is_gang_next =
            gangs.is_empty() || (gangs.len() + 1) * 100 <= long_vms * GANG_VMS_PERCENT;
        let allow_gang = allow_long && (is_gang_next || !other_waits_long);
        let idle = self.senders.iter();
        let mut idle = idle.filter(|(_, sender)| sender.in_flight.is_none() && usable(sender));
        let vm = *idle.next()?.0;
        let allowed = self.queued.iter().filter(|(_, (request, _))| {
            let allow = if request.gang { allow_gang } else { allow_long };
            allow || !request.is_long()
        });
        let allowed =
            allowed.map(|(key, (_, queued_at))| (now.since(*queued_at) < MAX_QUEUED, key));
        // Those that have waited too long come first, in the order in which they came.
        let key = allowed.min_by_key(|(is_recent, (priority, number))| {
            let priority = is_recent.then_some(*priority);
            (*is_recent, priority, *number)
        });
        let (_, key) = key?;
        let key = *key;
        let (request, _) = self.queued.remove(&key)?;
        if let Some(sender) = self.senders.get_mut(&vm) {
            sender.in_flight = Some(InFlight {
                is_long: request.is_long(),
                gang: request.gang,
            });
        }
        Some((vm, request))
    }

    /// Records that the request of `vm` has finished, with or without a response.
    pub fn finished(&mut self, vm: SocketAddr, succeeded: bool, now: Time) {
        if let Some(sender) = self.senders.get_mut(&vm) {
            sender.in_flight = None;
            if !succeeded {
                sender.backoff_until = now + FAILED_VM_BACKOFF;
            }
        }
    }
}
