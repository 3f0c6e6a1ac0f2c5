//! How the limit of an account is divided among shards: how much a shard takes or gives up.
//!
//! Shares are in thousandths of the limit. The shares of all shards sum to at most [`WHOLE`]; each
//! shard changes only its own. A shard that lacks capacity takes what is free; the others give up what
//! they do not need, and if all want more than there is, each gets an even part (max-min fairness).

use crate::model::Resources;

/// The whole limit, in thousandths.
pub const WHOLE: u16 = 1_000;

common! { value
/// The share of one shard.
#[derive(Default)]
pub struct ShardShare {
    /// The share.
    pub share: u16,
    /// How much the shard could use.
    pub wanted: u16,
    /// The position of the shard among those in which work needs more than the shard's part; 0 if the
    /// shard has no such work. The lowest is served first, so that a task or gang which needs more
    /// than an even part of the limit does not wait without bound.
    pub ticket: u32,
}}

impl ShardShare {
    /// How much the shard wants in addition to its share.
    pub fn lacking(&self) -> u16 {
        self.wanted.saturating_sub(self.share)
    }
}

common! { value
/// What a shard does about its share.
pub struct ShareDecision {
    /// What the shard may use from now on. It is at most the share that it has.
    pub usable: u16,
    /// The share to record. While more than `usable` is running, the shard keeps what is running.
    pub share: u16,
}}

/// The smallest part of `limit`, in thousandths, that holds `amount`. Dimensions of `limit` that are 0
/// have no limit. The result may exceed [`WHOLE`].
///
/// # Examples
///
/// ```
/// use chestnutlug::decide::limit_share::part_of;
/// use chestnutlug::model::Resources;
///
/// let limit = Resources { cpu_milli: 3_000, ..Resources::default() };
/// let amount = Resources { cpu_milli: 1_000, memory_mib: 70, accelerators: 0 };
/// assert_eq!(part_of(&amount, &limit), 334);
/// ```
pub fn part_of(amount: &Resources, limit: &Resources) -> u16 {
    let part = |amount: u32, limit: u32| {
        let part = (u64::from(amount) * u64::from(WHOLE)).checked_div(u64::from(limit));
        let exact = u64::from(amount) * u64::from(WHOLE) % u64::from(limit.max(1)) == 0;
        part.map_or(0, |part| part + u64::from(!exact))
    };
    let largest = part(amount.cpu_milli, limit.cpu_milli)
        .max(part(amount.memory_mib, limit.memory_mib))
        .max(part(amount.accelerators, limit.accelerators));
    u16::try_from(largest).unwrap_or(u16::MAX)
}

/// Divides the limit by max-min fairness among shards that want these parts. The shard `first` gets what
/// it wants before the others. The parts sum to [`WHOLE`] if the shards want at least that.
///
/// # Examples
///
/// ```
/// use chestnutlug::decide::limit_share::fair_parts;
///
/// assert_eq!(fair_parts(&[100, 1_000, 700], None), [100, 450, 450]);
/// assert_eq!(fair_parts(&[1_000, 600], Some(1)), [400, 600]);
/// ```
pub fn fair_parts(wanted: &[u16], first: Option<usize>) -> Vec<u16> {
    let mut parts = vec![0; wanted.len()];
    let mut left = WHOLE;
    let mut order: Vec<usize> = (0..wanted.len()).collect();
    if let Some(first) = first.filter(|first| *first < wanted.len()) {
        parts[first] = wanted[first].min(left);
        left -= parts[first];
        order.retain(|shard| *shard != first);
    }
    // Those that want least come first; what they leave is divided among the rest. The division
    // rounds down, so that its remainder goes to the shards at the end.
    order.sort_by_key(|shard| (wanted[*shard], std::cmp::Reverse(*shard)));
    let mut shards_left = u16::try_from(order.len()).unwrap_or(u16::MAX);
    for shard in order {
        let part = wanted[shard].min(left / shards_left.max(1));
        parts[shard] = part;
        left -= part;
        shards_left = shards_left.saturating_sub(1);
    }
    parts
}

/// The part of the limit that belongs to no shard.
pub fn free(shares: &[ShardShare]) -> u16 {
    let used: u32 = shares.iter().map(|shard| u32::from(shard.share)).sum();
    u16::try_from(u32::from(WHOLE).saturating_sub(used)).unwrap_or(0)
}

/// Decides what the shard `own` uses, takes and gives up, with `running` in use there.
///
/// # Examples
///
/// ```
/// use chestnutlug::decide::limit_share::{ShardShare, decide};
///
/// let idle = ShardShare { share: 500, wanted: 0, ticket: 0 };
/// let busy = ShardShare { share: 500, wanted: 1_000, ticket: 0 };
/// assert_eq!(decide(&[idle, busy], 0, 0).share, 0);
/// ```
pub fn decide(shares: &[ShardShare], own: usize, running: u16) -> ShareDecision {
    let Some(&ShardShare { share, .. }) = shares.get(own) else {
        return ShareDecision {
            usable: 0,
            share: 0,
        };
    };
    let all_wanted: Vec<u16> = shares.iter().map(|shard| shard.wanted).collect();
    let target = fair_parts(&all_wanted, first_served(shares))[own];
    let free = free(shares);
    if target > share {
        let taken = (target - share).min(free);
        return ShareDecision {
            usable: share,
            share: share + taken,
        };
    }
    let others = shares.iter().enumerate().filter(|(shard, _)| *shard != own);
    let lacking: u32 = others.map(|(_, shard)| u32::from(shard.lacking())).sum();
    let needed = lacking.saturating_sub(u32::from(free));
    let given = u32::from(share - target).min(needed);
    let usable = share - u16::try_from(given).unwrap_or(share);
    ShareDecision {
        usable,
        share: usable.max(running.min(share)),
    }
}

/// The shard that gets what it wants before the others.
fn first_served(shares: &[ShardShare]) -> Option<usize> {
    let waiting = shares.iter().enumerate();
    let waiting = waiting.filter(|(_, shard)| shard.ticket > 0);
    let first = waiting.min_by_key(|(index, shard)| (shard.ticket, *index));
    first.map(|(index, _)| index)
}
