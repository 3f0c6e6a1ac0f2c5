//! The configuration in force on one VM: it never goes back to a lower version.
//!
//! A VM that starts knows nothing ([`ConfigLearner`]). It takes work once it holds the highest version
//! that it heard of ([`CurrentConfig`]), from the table or, with the table down, from its peers.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::{CellConfig, Findings, text_digest};
use crate::model::{Time, VmName};

/// A version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigVersion {
    /// Its number, from 1; 0 is the empty configuration before the first.
    pub number: u64,
    /// The merged text.
    pub text: Arc<str>,
    /// The configuration.
    pub config: Arc<CellConfig>,
    /// When this VM took it up.
    pub adopted_at: Time,
}

impl ConfigVersion {
    /// The empty configuration of a cell to which none was applied.
    fn empty(now: Time) -> Self {
        Self {
            number: 0,
            text: "".into(),
            config: Arc::default(),
            adopted_at: now,
        }
    }

    fn read(number: u64, text: &str, now: Time) -> Result<Self, Findings> {
        Ok(Self {
            number,
            text: text.into(),
            config: Arc::new(CellConfig::from_text(text)?),
            adopted_at: now,
        })
    }
}

/// What became of an offered version.
#[derive(Clone, Debug, PartialEq)]
pub enum OfferOutcome {
    /// It is in force now.
    Adopted,
    /// It is the one in force.
    Unchanged,
    /// A higher one is in force.
    Older,
    /// It has the number of the one in force and another text; the one in force stays.
    DigestMismatch,
    /// This program does not accept the text; the one in force stays.
    Rejected(Findings),
}

/// The state of a VM that starts: it takes no work yet.
///
/// # Examples
///
/// ```
/// use chestnutlug::config::{ConfigLearner, OfferOutcome};
/// use chestnutlug::model::Time;
///
/// let now = Time::from_millis(0);
/// let mut learning = ConfigLearner::default();
/// learning.note_table_version(2);
/// assert_eq!(learning.offer(1, "[kind.swap]\n", now), OfferOutcome::Adopted);
/// let mut learning = learning.finish(now).unwrap_err();
///
/// assert_eq!(learning.offer(2, "[kind.swap]\nmax_queued = 5\n", now), OfferOutcome::Adopted);
/// let mut in_force = learning.finish(now).unwrap();
/// assert_eq!(in_force.version().number, 2);
/// assert_eq!(in_force.offer(1, "[kind.swap]\n", now), OfferOutcome::Older);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ConfigLearner {
    best: Option<ConfigVersion>,
    highest_known: u64,
    table_answered: bool,
    unanswered: BTreeSet<VmName>,
    peers_answered: bool,
}

impl ConfigLearner {
    /// Notes the version in the table's row, 0 where there is none.
    pub fn note_table_version(&mut self, version: u64) {
        self.table_answered = true;
        self.highest_known = self.highest_known.max(version);
    }

    /// Notes that a peer is asked, so that its answer is waited for.
    pub fn note_peer_asked(&mut self, peer: &VmName) {
        self.unanswered.insert(peer.clone());
    }

    /// Notes the version that a peer has in force. A peer that is itself learning says nothing.
    pub fn note_peer_version(&mut self, peer: &VmName, version: u64) {
        self.unanswered.remove(peer);
        self.peers_answered = true;
        self.highest_known = self.highest_known.max(version);
    }

    /// Notes that a peer gives no answer.
    pub fn note_peer_failed(&mut self, peer: &VmName) {
        self.unanswered.remove(peer);
    }

    /// Takes a version, from the table or from a peer.
    pub fn offer(&mut self, number: u64, text: &str, now: Time) -> OfferOutcome {
        self.highest_known = self.highest_known.max(number);
        offer(&mut self.best, number, text, now)
    }

    /// The highest version that was heard of.
    pub fn highest_known(&self) -> u64 {
        self.highest_known
    }

    /// Ends the learning where the highest version heard of is held, and either the table
    /// answered, or some peer did and none is waited for.
    ///
    /// # Errors
    ///
    /// Returns the state unchanged where that is not so yet.
    pub fn finish(self, now: Time) -> Result<CurrentConfig, Box<Self>> {
        let peers_suffice = self.peers_answered && self.unanswered.is_empty();
        let held = self.best.as_ref().map_or(0, |best| best.number);
        if held < self.highest_known || !(self.table_answered || peers_suffice) {
            return Err(Box::new(self));
        }
        let version = self.best.unwrap_or_else(|| ConfigVersion::empty(now));
        Ok(CurrentConfig { version })
    }
}

/// The state of a VM that takes work.
#[derive(Clone, Debug, PartialEq)]
pub struct CurrentConfig {
    version: ConfigVersion,
}

impl CurrentConfig {
    /// Takes a version if it is higher than the one in force.
    pub fn offer(&mut self, number: u64, text: &str, now: Time) -> OfferOutcome {
        let mut held = Some(self.version.clone());
        let offered = offer(&mut held, number, text, now);
        if let Some(held) = held {
            self.version = held;
        }
        offered
    }

    /// The version in force.
    pub fn version(&self) -> &ConfigVersion {
        &self.version
    }

    /// The version in force for a peer that has `number`, if it is higher.
    pub fn newer_than(&self, number: u64) -> Option<(u64, &str)> {
        (self.version.number > number).then_some((self.version.number, &*self.version.text))
    }
}

fn offer(held: &mut Option<ConfigVersion>, number: u64, text: &str, now: Time) -> OfferOutcome {
    let held_number = held.as_ref().map_or(0, |held| held.number);
    if number < held_number {
        return OfferOutcome::Older;
    }
    if number == held_number {
        let held_text = held.as_ref().map_or("", |held| &held.text);
        return match text_digest(held_text) == text_digest(text) {
            true => OfferOutcome::Unchanged,
            false => OfferOutcome::DigestMismatch,
        };
    }
    match ConfigVersion::read(number, text, now) {
        Ok(version) => {
            *held = Some(version);
            OfferOutcome::Adopted
        }
        Err(findings) => OfferOutcome::Rejected(findings),
    }
}
