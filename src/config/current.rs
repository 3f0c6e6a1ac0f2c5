//! The configuration in force on one VM. Its version never decreases.
//!
//! A VM starts without a configuration ([`ConfigLearner`]). It accepts work once it has the highest
//! version that it knows of ([`CurrentConfig`]): from the table, or from its peers if the table is
//! unavailable.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::{CellConfig, Findings, text_digest};
use crate::model::{Time, VmName};

/// A version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigVersion {
    /// The version number, from 1; 0 is the empty configuration before the first version.
    pub number: u64,
    /// The merged text.
    pub text: Arc<str>,
    /// The configuration.
    pub config: Arc<CellConfig>,
    /// When this VM adopted the version.
    pub adopted_at: Time,
}

impl ConfigVersion {
    /// The empty configuration of a cell without an applied version.
    fn empty(now: Time) -> Self {
        Self {
            number: 0,
            text: "".into(),
            config: Arc::default(),
            adopted_at: now,
        }
    }

    fn parse(number: u64, text: &str, now: Time) -> Result<Self, Findings> {
        Ok(Self {
            number,
            text: text.into(),
            config: Arc::new(CellConfig::from_text(text)?),
            adopted_at: now,
        })
    }
}

/// The result of offering a version.
#[derive(Clone, Debug, PartialEq)]
pub enum OfferOutcome {
    /// The version is now in force.
    Adopted,
    /// The version was already in force.
    Unchanged,
    /// A higher version is in force.
    Older,
    /// The text differs from the version in force with the same number, which stays in force.
    DigestMismatch,
    /// The text is not a valid configuration for this build; the version in force stays.
    Rejected(Findings),
}

/// Learns the first version on a starting VM, which accepts no work yet.
///
/// # Examples
///
/// ```
/// use chestnutlug::config::{ConfigLearner, OfferOutcome};
/// use chestnutlug::model::Time;
///
/// let now = Time::from_millis(0);
/// let mut learner = ConfigLearner::default();
/// learner.note_table_version(2);
/// assert_eq!(learner.offer(1, "[kind.swap]\n", now), OfferOutcome::Adopted);
/// let mut learner = learner.finish(now).unwrap_err();
///
/// assert_eq!(learner.offer(2, "[kind.swap]\nmax_queued = 5\n", now), OfferOutcome::Adopted);
/// let mut current = learner.finish(now).unwrap();
/// assert_eq!(current.version().number, 2);
/// assert_eq!(current.offer(1, "[kind.swap]\n", now), OfferOutcome::Older);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ConfigLearner {
    latest: Option<ConfigVersion>,
    highest_known: u64,
    table_answered: bool,
    pending_peers: BTreeSet<VmName>,
    peer_answered: bool,
}

impl ConfigLearner {
    /// Records the version number in the table, 0 if there is no row.
    pub fn note_table_version(&mut self, version: u64) {
        self.table_answered = true;
        self.highest_known = self.highest_known.max(version);
    }

    /// Records that a peer was asked; [`Self::finish`] waits for its reply unless the table
    /// answers.
    pub fn note_peer_asked(&mut self, peer: &VmName) {
        self.pending_peers.insert(peer.clone());
    }

    /// Records the version in force on a peer. A peer that is still learning has none; see
    /// [`Self::note_peer_failed`].
    pub fn note_peer_version(&mut self, peer: &VmName, version: u64) {
        self.pending_peers.remove(peer);
        self.peer_answered = true;
        self.highest_known = self.highest_known.max(version);
    }

    /// Records that a peer does not reply, or is still learning.
    pub fn note_peer_failed(&mut self, peer: &VmName) {
        self.pending_peers.remove(peer);
    }

    /// Offers a version from the table or from a peer.
    pub fn offer(&mut self, number: u64, text: &str, now: Time) -> OfferOutcome {
        self.highest_known = self.highest_known.max(number);
        offer(&mut self.latest, number, text, now)
    }

    /// The highest version number known so far.
    pub fn highest_known(&self) -> u64 {
        self.highest_known
    }

    /// Puts the highest known version in force, once this VM has its text and either the table
    /// answered, or at least one peer replied and no reply is pending.
    ///
    /// # Errors
    ///
    /// Returns the learner unchanged if these conditions are not met yet.
    pub fn finish(self, now: Time) -> Result<CurrentConfig, Box<Self>> {
        let peers_suffice = self.peer_answered && self.pending_peers.is_empty();
        let held = self.latest.as_ref().map_or(0, |latest| latest.number);
        if held < self.highest_known || !(self.table_answered || peers_suffice) {
            return Err(Box::new(self));
        }
        let version = self.latest.unwrap_or_else(|| ConfigVersion::empty(now));
        Ok(CurrentConfig { version })
    }
}

/// The version in force on a VM that accepts work.
#[derive(Clone, Debug, PartialEq)]
pub struct CurrentConfig {
    version: ConfigVersion,
}

impl CurrentConfig {
    /// Offers a version, which is adopted if it is higher than the one in force.
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

    /// The number and text of the version in force, if it is higher than `number`.
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
    match ConfigVersion::parse(number, text, now) {
        Ok(version) => {
            *held = Some(version);
            OfferOutcome::Adopted
        }
        Err(findings) => OfferOutcome::Rejected(findings),
    }
}
