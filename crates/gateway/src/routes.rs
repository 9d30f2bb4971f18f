//! The configuration in force: which requests go where, and how.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use wingbridge_decide::Name;
use wingbridge_decide::quota::QuotaLimit;

use crate::customers::{Customer, CustomerTable, PresentedKey};

/// Whether and how a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// It may run again.
    Repeatable,
    /// It runs once at most.
    AtMostOnce,
    /// It may run again, and its answers are large.
    Download,
}

impl RouteKind {
    /// Whether requests may run again.
    pub fn is_repeatable(self) -> bool {
        self != RouteKind::AtMostOnce
    }

    /// The kind's name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            RouteKind::Repeatable => "repeatable",
            RouteKind::AtMostOnce => "at-most-once",
            RouteKind::Download => "download",
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
    pub attempts: u32,
    /// How long a request is held, at most.
    pub timeout: Duration,
    /// The time within which an answer is worth most.
    pub goal: Duration,
    /// Its rank; 0 is the highest.
    pub priority: u32,
    /// Who may ask.
    pub access: RouteAccess,
}

/// Who may ask on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteAccess {
    /// Anybody.
    Public,
    /// Whoever has a customer's key.
    Closed,
    /// Whoever has a customer's key, if the configuration knows customers; else anybody.
    ByCustomers,
}

/// Whether a request may go on.
#[derive(Debug, Clone, PartialEq)]
pub enum Entrance {
    /// It may, and is this customer's if it carries a key.
    Open(Option<Arc<Customer>>),
    /// It may not, and why.
    Closed(&'static str),
}

/// Bounds on what callers send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest head, in bytes.
    pub head_bytes: usize,
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// Time for a head, from its first byte.
    pub head_time: Duration,
    /// Time that a connection may rest between two requests.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// In force until there is a configuration: the usual bounds of HTTP servers.
    fn default() -> CallerLimits {
        CallerLimits {
            head_bytes: 16 * 1024,
            body_bytes: 1 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
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
        RouteConfig { version, limits, customers: None, routes: hosts }
    }

    /// The same with customers.
    pub fn with_customers(self, customers: CustomerTable) -> RouteConfig {
        RouteConfig { customers: Some(customers), ..self }
    }

    /// Whether a request with that key may go on by `route`.
    pub fn entrance(&self, route: &Route, key: PresentedKey) -> Entrance {
        let customer = match key {
            PresentedKey::Digest(digest) => {
                self.customers.as_ref().and_then(|customers| customers.find(&digest)).cloned()
            }
            PresentedKey::Absent | PresentedKey::Malformed(_) => None,
        };
        let is_open = match route.access {
            RouteAccess::Public => true,
            RouteAccess::Closed => false,
            RouteAccess::ByCustomers => self.customers.is_none(),
        };
        match (customer, key) {
            (Some(customer), _) => Entrance::Open(Some(customer)),
            (None, _) if is_open => Entrance::Open(None),
            (None, PresentedKey::Absent) => Entrance::Closed("it carries no key"),
            (None, PresentedKey::Malformed(reason)) => Entrance::Closed(reason),
            (None, PresentedKey::Digest(_)) => Entrance::Closed("no customer has its key"),
        }
    }

    /// What the customer of that name may ask over all boxes; `None` if there is no limit.
    pub fn quota_of(&self, customer: &Name) -> Option<QuotaLimit> {
        self.customers.as_ref()?.quota_of(customer)
    }

    /// Whether there are routes that nobody may use, since no customer is known.
    pub fn shuts_all_out(&self) -> bool {
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
