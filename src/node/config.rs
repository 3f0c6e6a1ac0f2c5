//! The configuration in force on this node, and its replacement by newer versions.

use std::sync::{Arc, Mutex, MutexGuard};

use arc_swap::ArcSwap;

use crate::config::{CellConfig, ConfigLearner, ConfigVersion, CurrentConfig, OfferOutcome};
use crate::model::{Time, VmName};

/// The configuration of one node: learnt at the start, then replaced as a whole by higher versions.
#[derive(Debug)]
pub struct ConfigHolder {
    state: Mutex<State>,
    current: ArcSwap<ConfigVersion>,
}

#[derive(Debug)]
enum State {
    Learning(ConfigLearner),
    InForce(CurrentConfig),
}

impl Default for ConfigHolder {
    fn default() -> Self {
        let empty = ConfigVersion {
            number: 0,
            text: "".into(),
            config: Arc::default(),
            adopted_at: Time::default(),
        };
        Self {
            state: Mutex::new(State::Learning(ConfigLearner::default())),
            current: ArcSwap::from_pointee(empty),
        }
    }
}

impl ConfigHolder {
    /// The version in force; the empty version 0 until the node has learnt one.
    pub fn version(&self) -> Arc<ConfigVersion> {
        self.current.load_full()
    }

    /// The configuration in force.
    pub fn config(&self) -> Arc<CellConfig> {
        self.current.load().config.clone()
    }

    /// Whether the node has learnt the version in force, so that it may accept work.
    pub fn is_ready(&self) -> bool {
        matches!(*self.lock(), State::InForce(_))
    }

    /// Records the number of the version that the table names as in force.
    pub fn note_table_version(&self, number: u64) {
        if let State::Learning(learning) = &mut *self.lock() {
            learning.note_table_version(number);
        }
    }

    /// Records that a peer was asked for its version, so that its reply is awaited.
    pub fn note_peer_asked(&self, peer: &VmName) {
        if let State::Learning(learning) = &mut *self.lock() {
            learning.note_peer_asked(peer);
        }
    }

    /// Records a peer's reply: its version in force, or `None` if it did not reply with one.
    pub fn note_peer_version(&self, peer: &VmName, number: Option<u64>) {
        if let State::Learning(learning) = &mut *self.lock() {
            match number {
                Some(number) => learning.note_peer_version(peer, number),
                None => learning.note_peer_failed(peer),
            }
        }
    }

    /// Offers a version that was read from the table or from a peer.
    pub fn offer(&self, number: u64, text: &str, now: Time) -> OfferOutcome {
        let mut state = self.lock();
        let offered = match &mut *state {
            State::Learning(learning) => learning.offer(number, text, now),
            State::InForce(in_force) => in_force.offer(number, text, now),
        };
        if let State::InForce(in_force) = &*state {
            self.current.store(Arc::new(in_force.version().clone()));
        }
        offered
    }

    /// Puts the held version into force, once it is the highest that this node has heard of.
    pub fn finish_learning(&self, now: Time) {
        let mut state = self.lock();
        let State::Learning(learning) = &mut *state else {
            return;
        };
        match std::mem::take(learning).finish(now) {
            Ok(in_force) => {
                self.current.store(Arc::new(in_force.version().clone()));
                *state = State::InForce(in_force);
            }
            Err(learning) => *state = State::Learning(*learning),
        }
    }

    /// The number and text of the version in force, if it is higher than `above`.
    pub fn newer_than(&self, above: u64) -> Option<(u64, String)> {
        match &*self.lock() {
            State::Learning(_) => None,
            State::InForce(in_force) => in_force
                .newer_than(above)
                .map(|(number, text)| (number, text.to_owned())),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}
