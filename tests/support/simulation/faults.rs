//! Fault injection.

use std::time::Duration;

use chestnutlug::standin::worker::Switches;

use super::super::mode::TableMode;
use super::{Event, Fault, ShardSimulation};

impl ShardSimulation {
    pub(super) fn pause(&mut self, owner: usize, ms: u64) {
        self.owners[owner].paused_until = Some(self.now + Duration::from_millis(ms));
        self.schedule(ms, Event::Resume(owner));
    }

    pub fn inject(&mut self, fault: Fault) {
        let current = self.current_owner();
        match fault {
            Fault::KillOwner => current
                .into_iter()
                .for_each(|o| self.owners[o].stopped = true),
            Fault::PauseOwner(ms) => current.into_iter().for_each(|o| self.pause(o, ms)),
            Fault::PauseOwnerAtCall(ms) => {
                current
                    .into_iter()
                    .for_each(|o| self.owners[o].pause_at_command_call = Some(ms));
            }
            Fault::ForceTakeover => self.claim(),
            Fault::StopOwner => current
                .into_iter()
                .for_each(|o| self.owners[o].shard.stop()),
            Fault::Table(mode) => {
                self.table = mode;
                self.table_always_up &= mode == TableMode::Up;
            }
            Fault::RestartWorker(w) => self.workers[w].worker.boot(self.now),
            Fault::KillWorker(w, ms) => {
                self.workers[w].worker.boot(self.now);
                self.workers[w].dead_until = Some(self.now + Duration::from_millis(ms));
            }
            Fault::HangWorker(w, on) => self.set_hanging(w, on),
            Fault::DropCalls(w, on) => self.workers[w].drops_calls = on,
            Fault::DropCallsOfOwner(w) => self.dropped_links.extend(current.map(|o| (o, w))),
            Fault::DropCallsOfNextOwner(w) => {
                self.dropped_links.insert((self.owners.len(), w));
            }
            Fault::IsolateOwner => {
                self.isolated_owners.extend(current);
                self.table_always_up = false;
            }
            Fault::DropResponses(w, on) => self.workers[w].drops_responses = on,
            Fault::DelayCalls(w, ms) => self.workers[w].delay_ms = ms,
            Fault::DuplicateCalls(w, on) => self.workers[w].duplicates_calls = on,
            Fault::RefuseCalls(w, on) => self.set_switch(w, |s| s.refuse = on),
            Fault::FailAllTasks(w, on) => self.set_switch(w, |s| s.fail_all = on),
            Fault::WorkerLeaving(w, on) => self.set_switch(w, |s| s.leaving = on),
        }
    }

    pub(super) fn set_hanging(&mut self, worker: usize, on: bool) {
        self.workers[worker].is_hanging = on;
        if !on {
            for event in std::mem::take(&mut self.workers[worker].held_calls) {
                self.schedule(0, event);
            }
        }
    }

    pub(super) fn set_switch(&mut self, worker: usize, change: impl FnOnce(&mut Switches)) {
        let target = &mut self.workers[worker];
        let mut switches = target.worker.switches().clone();
        change(&mut switches);
        target.worker.set_switches(switches, self.now);
    }

    /// Clears all lasting faults, then runs for `ms` milliseconds. Pauses and outages of workers
    /// end by themselves.
    pub fn clear_faults_and_run(&mut self, ms: u64) {
        self.inject(Fault::Table(TableMode::Up));
        self.dropped_links.clear();
        self.isolated_owners.clear();
        for w in 0..self.workers.len() {
            for fault in [
                Fault::HangWorker(w, false),
                Fault::DropCalls(w, false),
                Fault::DropResponses(w, false),
                Fault::DelayCalls(w, 0),
                Fault::DuplicateCalls(w, false),
                Fault::RefuseCalls(w, false),
                Fault::FailAllTasks(w, false),
                Fault::WorkerLeaving(w, false),
            ] {
                self.inject(fault);
            }
        }
        self.run_ms(ms);
    }
}
