//! Customers and the API keys by which their requests are recognized.
//!
//! Keys are secrets. A box stores only a digest of each key and drops the key itself as soon as the
//! head of a request is read, so that no log, metric, error or target can show one. The table is
//! searched by digest, so the time of a lookup reveals nothing about a key.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::fmt;
use std::sync::Arc;

use wingbridge_decide::Name;
use wingbridge_decide::quota::QuotaLimit;

/// Maximum length of a key, in bytes. A longer one is rejected without a lookup.
const MAX_KEY_BYTES: usize = 256;
/// Bytes of a digest that are printed in logs: enough to distinguish keys, too few to help in guessing
/// one.
const PRINTED_DIGEST_BYTES: usize = 4;

/// BLAKE3 digest of a customer's key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of `key`.
    pub fn of(key: &[u8]) -> KeyDigest {
        KeyDigest(blake3::hash(key).into())
    }

    /// Returns the digest with these bytes.
    pub fn from_bytes(bytes: [u8; 32]) -> KeyDigest {
        KeyDigest(bytes)
    }

    /// Returns the bytes of the digest, for a peer that checks the access again.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Display for KeyDigest {
    /// Writes the first digits only, so that logs don't contain the complete digest.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..PRINTED_DIGEST_BYTES].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}

/// A customer and the limits of its requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Customer {
    /// Name of the customer, which is sent to targets.
    pub name: Name,
    /// Priority of the customer's requests, which replaces the priority of the route; 0 is the most
    /// urgent.
    pub priority: Option<u32>,
    /// Quota of the customer over all boxes together; `None` for no limit.
    pub quota: Option<QuotaLimit>,
    /// Regions in which the customer's requests may be served; `None` for all regions.
    pub home_regions: Option<Arc<[Name]>>,
}

/// A customer with its keys, as input of a [`CustomerTable`].
#[derive(Debug, Clone)]
pub struct CustomerSetup {
    /// The customer that the keys belong to.
    pub customer: Customer,
    /// Digests of the customer's keys.
    pub keys: Vec<KeyDigest>,
}

/// All customers of a configuration, indexed by the digests of their keys.
#[derive(Debug, Clone, Default)]
pub struct CustomerTable {
    by_key: HashMap<KeyDigest, Arc<Customer>>,
    quotas: HashMap<Name, QuotaLimit>,
    customers: usize,
    /// Number of keys that are listed for a second customer, too. They are valid for the first one only.
    pub shared_keys: usize,
}

impl CustomerTable {
    /// Builds the table. A key that is listed for several customers belongs to the first of them.
    pub fn new(setups: Vec<CustomerSetup>) -> CustomerTable {
        let mut table = CustomerTable { customers: setups.len(), ..CustomerTable::default() };
        for CustomerSetup { customer, keys } in setups {
            if let Some(quota) = customer.quota {
                table.quotas.insert(customer.name.clone(), quota);
            }
            let customer = Arc::new(customer);
            for key in keys {
                match table.by_key.entry(key) {
                    Entry::Vacant(entry) => drop(entry.insert(Arc::clone(&customer))),
                    Entry::Occupied(entry) if entry.get().name == customer.name => {}
                    Entry::Occupied(_) => table.shared_keys += 1,
                }
            }
        }
        table
    }

    /// Returns the customer that the key with that digest belongs to.
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<Customer>> {
        self.by_key.get(key)
    }

    /// Returns the quota of the customer with that name; `None` if it has no limit or is unknown.
    pub fn quota_of(&self, name: &Name) -> Option<QuotaLimit> {
        self.quotas.get(name).copied()
    }

    /// Returns the home regions of all customers that have a key, with duplicates.
    pub fn home_regions(&self) -> impl Iterator<Item = &Name> {
        self.by_key.values().filter_map(|customer| customer.home_regions.as_deref()).flatten()
    }

    /// Returns the number of customers.
    pub fn len(&self) -> usize {
        self.customers
    }

    /// Returns whether the table has no customer.
    pub fn is_empty(&self) -> bool {
        self.customers == 0
    }
}

/// The key in the headers of a request, as far as it can be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PresentedKey {
    /// The request has no key.
    Absent,
    /// A well-formed key, which may belong to a customer.
    Digest(KeyDigest),
    /// A value that can't be a key, with the reason.
    Malformed(&'static str),
}

impl PresentedKey {
    /// Reads the key from the values of all key headers of a request.
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
        if key.len() > MAX_KEY_BYTES {
            return PresentedKey::Malformed("its key is too long");
        }
        if !key.iter().all(u8::is_ascii_graphic) {
            return PresentedKey::Malformed("its key has bytes that no key has");
        }
        PresentedKey::Digest(KeyDigest::of(key))
    }
}

impl fmt::Display for PresentedKey {
    /// Writes the first digits of the digest, `malformed`, or nothing if there is no key.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PresentedKey::Absent => Ok(()),
            PresentedKey::Digest(digest) => digest.fmt(f),
            PresentedKey::Malformed(_) => f.write_str("malformed"),
        }
    }
}
