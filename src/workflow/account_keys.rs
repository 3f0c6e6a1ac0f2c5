//! Looks up the client account of a key.

use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};

use subtle::ConstantTimeEq;

use super::account::AccountConfig;
use crate::model::AccountName;

/// A key and its account.
type KeyOfAccount = (Box<[u8]>, AccountName);

/// The keys of all client accounts.
///
/// A lookup hashes the key with a random secret and then compares it in constant time with the keys of the
/// same hash, of which there is rarely more than one. Its time therefore tells a caller nothing about the
/// other keys, and does not grow with their number.
///
/// # Examples
///
/// ```
/// use chestnutlug::model::{AccountName, Resources};
/// use chestnutlug::workflow::{AccountConfig, AccountKeys, AccountPolicy};
///
/// let name = AccountName::new("parlour");
/// let limit = Resources::default();
/// let policy = AccountPolicy { name: name.clone(), submissions_per_s: 1.0, limit };
/// let keys = AccountKeys::new(&[AccountConfig { policy, keys: vec!["k-1".to_owned()] }]);
/// assert_eq!(keys.account(b"k-1"), Some(&name));
/// assert_eq!(keys.account(b"k-2"), None);
/// ```
#[derive(Default)]
pub struct AccountKeys {
    hasher: RandomState,
    by_hash: HashMap<u64, Vec<KeyOfAccount>>,
}

impl AccountKeys {
    /// The keys of `accounts`. A key of two accounts belongs to the first, and an empty key to none.
    pub fn new(accounts: &[AccountConfig]) -> Self {
        let mut all = Self::default();
        for account in accounts {
            for key in &account.keys {
                let key = key.as_bytes();
                if !key.is_empty() && all.account(key).is_none() {
                    let entry = (key.into(), account.policy.name.clone());
                    all.by_hash.entry(all.hash(key)).or_default().push(entry);
                }
            }
        }
        all
    }

    /// The account that `key` belongs to.
    pub fn account(&self, key: &[u8]) -> Option<&AccountName> {
        let candidates = self.by_hash.get(&self.hash(key))?;
        let mut found = None;
        for (candidate, account) in candidates {
            if candidate.ct_eq(key).into() {
                found = Some(account);
            }
        }
        found
    }

    fn hash(&self, key: &[u8]) -> u64 {
        self.hasher.hash_one(key)
    }
}
