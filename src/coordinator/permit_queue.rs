//! Shares questions about permits out over the VMs.
//!
//! The service of permits answers one question of a VM at a time, so each VM is given one at a time,
//! the most urgent first. Long questions are kept from some VMs, so that urgent short ones find one
//! that is free.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::model::{Time, WorkerName};
use crate::workflow::StepId;

/// A question that takes longer is kept from the VMs reserved for short ones. It is a fifth of the
/// 250 ms that the most urgent kind of work may take beyond its run time.
const LONG_QUESTION_MS: u64 = 50;

/// One VM in so many, and at least one where there are two, is reserved for short questions.
const RESERVED_SHARE: usize = 3;

/// A VM that did not answer is given no question for so long.
const AVOID: Duration = Duration::from_secs(2);

/// A question about which workers may run a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitRequest {
    /// The step.
    pub step: StepId,
    /// The workers to ask about.
    pub workers: Vec<WorkerName>,
    /// How long the service takes, in milliseconds.
    pub takes_ms: u64,
    /// The priority of the queue; 0 is the most urgent.
    pub priority: u8,
}

#[derive(Clone, Copy, Debug, Default)]
struct Lane {
    /// The length of the question under way, if there is one.
    busy: Option<u64>,
    avoided_until: Time,
}

/// The questions that wait and the VMs that ask.
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
/// queue.push(PermitRequest { step, workers: Vec::new(), takes_ms: 5, priority: 0 });
/// let (vm, request) = queue.next(Time::default()).unwrap();
/// assert_eq!(request.step, step);
/// assert!(queue.next(Time::default()).is_none());
/// queue.finished(vm, true, Time::default());
/// ```
#[derive(Debug, Default)]
pub struct PermitQueue {
    waiting: BTreeMap<(u8, u64), PermitRequest>,
    pushed: u64,
    lanes: BTreeMap<SocketAddr, Lane>,
}

impl PermitQueue {
    /// Says which VMs can ask.
    pub fn set_vms(&mut self, vms: &[SocketAddr]) {
        self.lanes
            .retain(|vm, lane| vms.contains(vm) || lane.busy.is_some());
        for vm in vms {
            self.lanes.entry(*vm).or_default();
        }
    }

    /// Adds a question.
    pub fn push(&mut self, question: PermitRequest) {
        self.pushed += 1;
        self.waiting
            .insert((question.priority, self.pushed), question);
    }

    /// The next question to ask and the VM that asks it.
    pub fn next(&mut self, now: Time) -> Option<(SocketAddr, PermitRequest)> {
        let usable = |lane: &Lane| lane.avoided_until <= now;
        let vms = self.lanes.values().filter(|lane| usable(lane)).count();
        let reserved = if vms > 1 {
            vms.div_ceil(RESERVED_SHARE)
        } else {
            0
        };
        let is_long = |takes_ms: u64| takes_ms > LONG_QUESTION_MS;
        let long = self.lanes.values();
        let long = long.filter(|lane| lane.busy.is_some_and(is_long)).count();
        let may_be_long = long + reserved < vms;
        let free = self.lanes.iter();
        let mut free = free.filter(|(_, lane)| lane.busy.is_none() && usable(lane));
        let vm = *free.next()?.0;
        let mut waiting = self.waiting.iter();
        let (key, _) = waiting.find(|(_, question)| may_be_long || !is_long(question.takes_ms))?;
        let key = *key;
        let question = self.waiting.remove(&key)?;
        if let Some(lane) = self.lanes.get_mut(&vm) {
            lane.busy = Some(question.takes_ms);
        }
        Some((vm, question))
    }

    /// Notes that the question of `vm` has ended, with an answer or without.
    pub fn finished(&mut self, vm: SocketAddr, succeeded: bool, now: Time) {
        if let Some(lane) = self.lanes.get_mut(&vm) {
            lane.busy = None;
            if !succeeded {
                lane.avoided_until = now + AVOID;
            }
        }
    }
}
