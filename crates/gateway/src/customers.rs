//! Customers: whose request it is, by the key that it carries.
//!
//! Keys are secrets. A box keeps a digest of each and forgets the key itself as soon as a
//! request's head is read, so that no log, metric, error or target can ever show one. The table is
//! searched by digest: how long that takes tells nothing of a key.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::fmt;
use std::sync::Arc;

use wingbridge_decide::Name;
use wingbridge_decide::quota::QuotaLimit;

/// Longest key that is looked up, in bytes. A longer one is none of a customer's.
const KEY_BYTES: usize = 256;
/// Bytes of a digest that logs show: enough to tell keys apart, and of no use to guess one.
const HINT_BYTES: usize = 4;

/// A digest that stands for a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of `key`.
    pub fn of(key: &[u8]) -> KeyDigest {
        KeyDigest(blake3::hash(key).into())
    }
}

impl fmt::Display for KeyDigest {
    /// The first digits alone.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..HINT_BYTES].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}

/// A customer.
#[derive(Debug, Clone, PartialEq)]
pub struct Customer {
    /// Its name, which targets are told.
    pub name: Name,
    /// The rank of its requests, in place of their route's; 0 is the highest.
    pub priority: Option<u32>,
    /// What it may ask over all boxes together; without one there is no limit.
    pub quota: Option<QuotaLimit>,
    /// The regions that its requests may be served in; `None` for all.
    pub home_regions: Option<Arc<[Name]>>,
}

/// A customer with the keys that its requests may carry.
#[derive(Debug, Clone)]
pub struct CustomerSetup {
    /// The customer.
    pub customer: Customer,
    /// Its keys.
    pub keys: Vec<KeyDigest>,
}

/// All customers of a configuration, by their keys.
#[derive(Debug, Clone, Default)]
pub struct CustomerTable {
    by_key: HashMap<KeyDigest, Arc<Customer>>,
    quotas: HashMap<Name, QuotaLimit>,
    customers: usize,
    /// Keys that stand at a second customer as well, which do not count there.
    pub shared_keys: usize,
}

impl CustomerTable {
    /// A table of `setups`.
    pub fn new(setups: Vec<CustomerSetup>) -> CustomerTable {
        let mut table = CustomerTable { customers: setups.len(), ..CustomerTable::default() };
        for CustomerSetup { customer, keys } in setups {
            if let Some(quota) = customer.quota {
                table.quotas.insert(customer.name.clone(), quota);
            }
            let customer = Arc::new(customer);
            for key in keys {
                match table.by_key.entry(key) {
                    Entry::Vacant(place) => drop(place.insert(Arc::clone(&customer))),
                    Entry::Occupied(place) if place.get().name == customer.name => {}
                    Entry::Occupied(_) => table.shared_keys += 1,
                }
            }
        }
        table
    }

    /// The customer that holds the key with that digest.
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<Customer>> {
        self.by_key.get(key)
    }

    /// What the customer of that name may ask; `None` if it has no limit or is not known.
    pub fn quota_of(&self, name: &Name) -> Option<QuotaLimit> {
        self.quotas.get(name).copied()
    }

    /// The regions that customers name as their homes.
    pub fn home_regions(&self) -> impl Iterator<Item = &Name> {
        self.by_key.values().filter_map(|customer| customer.home_regions.as_deref()).flatten()
    }

    /// How many customers there are.
    pub fn len(&self) -> usize {
        self.customers
    }

    /// Whether there is no customer.
    pub fn is_empty(&self) -> bool {
        self.customers == 0
    }
}

/// The key that a request carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PresentedKey {
    /// None.
    Absent,
    /// One that may be a customer's.
    Digest(KeyDigest),
    /// Something that can be no customer's key, and why.
    Malformed(&'static str),
}

impl PresentedKey {
    /// Reads the values of all header lines that carry a key.
    pub fn from_header_values<'a>(values: impl IntoIterator<Item = &'a [u8]>) -> PresentedKey {
        let mut values = values.into_iter();
        let Some(value) = values.next() else {
            return PresentedKey::Absent;
        };
        if values.next().is_some() {
            return PresentedKey::Malformed("it carries more than one key");
        }
        let key = value.trim_ascii();
        if key.is_empty() {
            return PresentedKey::Malformed("its key is empty");
        }
        if key.len() > KEY_BYTES {
            return PresentedKey::Malformed("its key is too long");
        }
        if !key.iter().all(u8::is_ascii_graphic) {
            return PresentedKey::Malformed("its key has bytes that no key has");
        }
        PresentedKey::Digest(KeyDigest::of(key))
    }
}

impl fmt::Display for PresentedKey {
    /// What logs show of it: the first digits of its digest, or that there is none.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PresentedKey::Absent => Ok(()),
            PresentedKey::Digest(digest) => digest.fmt(f),
            PresentedKey::Malformed(_) => f.write_str("malformed"),
        }
    }
}
