//! The configuration in force: which requests go where, and how.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use wingbridge_decide::Name;
use wingbridge_decide::quota::QuotaLimit;
use wingbridge_decide::steer::RequestRate;

use crate::customers::{Customer, CustomerTable, PresentedKey};
use crate::invalid_entries::InvalidEntries;

/// Whether and how a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// It may run again.
    Repeatable,
    /// It runs once at most.
    AtMostOnce,
    /// It may run again, and its answers are large.
    Download,
    /// It runs once at most, and its bodies are large.
    Upload,
}

impl RouteKind {
    /// Whether requests may run again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RouteKind::Repeatable | RouteKind::Download)
    }

    /// The kind's name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            RouteKind::Repeatable => "repeatable",
            RouteKind::AtMostOnce => "at-most-once",
            RouteKind::Download => "download",
            RouteKind::Upload => "upload",
        }
    }
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: Name,
    /// The host that requests name, in lower case.
    pub host: String,
    /// What their path begins with.
    pub prefix: String,
    /// Whether they may run again.
    pub kind: RouteKind,
    /// The services that they go to, with their weights.
    pub services: Vec<Name>,
    /// The weight of each service.
    pub weights: Vec<u32>,
    /// Targets that one request may run at, at most.
    pub max_attempts: u32,
    /// How long a request is held, at most.
    pub timeout: Duration,
    /// The time within which an answer is worth most.
    pub goal: Duration,
    /// Its rank; 0 is the highest.
    pub priority: u32,
    /// Who may ask.
    pub access: RouteAccess,
    /// The regions that its requests may be served in; `None` for all.
    pub home_regions: Option<Arc<[Name]>>,
}

impl Route {
    /// A route of which no more is known than its requests: it serves none of them, and anybody may
    /// hear that.
    pub fn blocked(name: Name, host: String, prefix: String) -> Route {
        Route {
            name,
            host,
            prefix,
            kind: RouteKind::AtMostOnce,
            services: Vec::new(),
            weights: Vec::new(),
            max_attempts: 1,
            timeout: Duration::ZERO,
            goal: Duration::ZERO,
            priority: 0,
            access: RouteAccess::Public,
            home_regions: None,
        }
    }

    /// The regions that a request of `customer` on this route may be served in: where both have homes, both
    /// bind. `None` for all.
    pub fn home_regions_for(&self, customer: Option<&Customer>) -> Option<Arc<[Name]>> {
        let theirs = customer.and_then(|customer| customer.home_regions.as_ref());
        match (self.home_regions.as_ref(), theirs) {
            (None, homes) | (homes, None) => homes.cloned(),
            (Some(own), Some(theirs)) => {
                Some(own.iter().filter(|home| theirs.contains(home)).cloned().collect())
            }
        }
    }
}

/// Who may ask on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteAccess {
    /// Anybody.
    Public,
    /// Whoever has a customer's key.
    Closed,
    /// Whoever has a customer's key, if the configuration knows customers; else anybody.
    ClosedIfCustomers,
}

/// Whether a request may go on.
#[derive(Debug, Clone, PartialEq)]
pub enum AccessDecision {
    /// It may, and is this customer's if it carries a key.
    Allowed(Option<Arc<Customer>>),
    /// It may not, and why.
    Denied(&'static str),
}

/// Bounds on what callers send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest head, in bytes.
    pub max_head_bytes: usize,
    /// Longest body, in bytes.
    pub max_body_bytes: usize,
    /// Time for a head, from its first byte.
    pub head_timeout: Duration,
    /// Time that a connection may rest between two requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// In force until there is a configuration: the usual bounds of HTTP servers.
    fn default() -> CallerLimits {
        CallerLimits {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 1 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A whole configuration.
#[derive(Debug, Clone, Default)]
pub struct RouteConfig {
    /// Its version, which only rises.
    pub version: u64,
    /// Bounds on what callers send.
    pub limits: CallerLimits,
    /// The customers; `None` if the configuration doesn't know of any.
    pub customers: Option<CustomerTable>,
    /// What targets of a service take from all boxes together while they are cold, in requests a second,
    /// for services that have such a bound.
    pub cold_rates: HashMap<Name, RequestRate>,
    /// Entries that can't be used as they stand.
    pub invalid_entries: InvalidEntries,
    routes: HashMap<String, Vec<Arc<Route>>>,
}

impl RouteConfig {
    /// A configuration of `routes`.
    pub fn new(version: u64, limits: CallerLimits, routes: Vec<Route>) -> RouteConfig {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            // The longest prefix wins, so it is looked at first.
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        RouteConfig { version, limits, routes: hosts, ..RouteConfig::default() }
    }

    /// The same with customers.
    pub fn with_customers(self, customers: CustomerTable) -> RouteConfig {
        RouteConfig { customers: Some(customers), ..self }
    }

    /// The same with what cold targets take.
    pub fn with_cold_rates(self, cold_rates: HashMap<Name, RequestRate>) -> RouteConfig {
        RouteConfig { cold_rates, ..self }
    }

    /// The same with what is odd about it.
    pub fn with_invalid_entries(self, invalid_entries: InvalidEntries) -> RouteConfig {
        RouteConfig { invalid_entries, ..self }
    }

    /// Whether a request with that key may go on by `route`.
    pub fn authorize(&self, route: &Route, key: PresentedKey) -> AccessDecision {
        let customer = match key {
            PresentedKey::Digest(digest) => {
                self.customers.as_ref().and_then(|customers| customers.find(&digest)).cloned()
            }
            PresentedKey::Absent | PresentedKey::Malformed(_) => None,
        };
        let is_open = match route.access {
            RouteAccess::Public => true,
            RouteAccess::Closed => false,
            RouteAccess::ClosedIfCustomers => self.customers.is_none(),
        };
        match (customer, key) {
            (Some(customer), _) => AccessDecision::Allowed(Some(customer)),
            (None, _) if is_open => AccessDecision::Allowed(None),
            (None, PresentedKey::Absent) => AccessDecision::Denied("it carries no key"),
            (None, PresentedKey::Malformed(reason)) => AccessDecision::Denied(reason),
            (None, PresentedKey::Digest(_)) => AccessDecision::Denied("no customer has its key"),
        }
    }

    /// What the customer of that name may ask over all boxes; `None` if there is no limit.
    pub fn quota_of(&self, customer: &Name) -> Option<QuotaLimit> {
        self.customers.as_ref()?.quota_of(customer)
    }

    /// The regions that routes or customers name as their homes.
    pub fn home_regions(&self) -> impl Iterator<Item = &Name> {
        let routes =
            self.routes.values().flatten().filter_map(|route| route.home_regions.as_deref());
        let customers = self.customers.iter().flat_map(CustomerTable::home_regions);
        routes.flatten().chain(customers)
    }

    /// Whether there are routes that nobody may use, since no customer is known.
    pub fn has_unusable_closed_routes(&self) -> bool {
        let closed = |route: &Arc<Route>| route.access == RouteAccess::Closed;
        let known = self.customers.as_ref().is_some_and(|customers| !customers.is_empty());
        !known && self.routes.values().flatten().any(closed)
    }

    /// The route for a request, if there is one.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes.get(host)?.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// How many routes there are.
    pub fn len(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}
