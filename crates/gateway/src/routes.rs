//! The route table: which requests go to which services, under which limits, and for which customers.

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
    /// Requests may run more than once.
    Repeatable,
    /// Requests run at most once.
    AtMostOnce,
    /// Requests may run more than once and have large answers.
    Download,
    /// Requests run at most once and have large bodies.
    Upload,
}

impl RouteKind {
    /// Returns whether requests of this kind may run more than once.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RouteKind::Repeatable | RouteKind::Download)
    }

    /// Returns the name of the kind in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            RouteKind::Repeatable => "repeatable",
            RouteKind::AtMostOnce => "at-most-once",
            RouteKind::Download => "download",
            RouteKind::Upload => "upload",
        }
    }
}

/// A route: the requests that it matches, the services that they go to, and their limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route, in logs and statistics.
    pub name: Name,
    /// Host of matching requests, in lower case.
    pub host: String,
    /// Path prefix of matching requests.
    pub prefix: String,
    /// Kind of the requests, which decides whether they may run more than once.
    pub kind: RouteKind,
    /// Services that share the requests of the route.
    pub services: Vec<Name>,
    /// Weight of each entry of `services`, in the same order.
    pub weights: Vec<u32>,
    /// Maximum number of targets that may run one request.
    pub max_attempts: u32,
    /// Maximum time until a request is answered.
    pub timeout: Duration,
    /// Latency goal: time within which requests should be answered.
    pub goal: Duration,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u32,
    /// Whether requests need a customer's key.
    pub access: RouteAccess,
    /// Regions in which the requests may be served; `None` for all regions.
    pub home_regions: Option<Arc<[Name]>>,
}

impl Route {
    /// Creates a route whose entry in the configuration is only partly valid: it matches its requests and
    /// serves none of them. It is public, so that every caller gets the reason, whether it has a valid key
    /// or not.
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

    /// Returns the priority of a request of `customer` on this route; 0 is the most urgent.
    pub fn priority_for(&self, customer: Option<&Customer>) -> u32 {
        customer.and_then(|customer| customer.priority).unwrap_or(self.priority)
    }

    /// Returns the regions in which a request of `customer` on this route may be served; `None` for all
    /// regions. If both the route and the customer have home regions, only the common ones remain.
    pub fn home_regions_for(&self, customer: Option<&Customer>) -> Option<Arc<[Name]>> {
        let of_customer = customer.and_then(|customer| customer.home_regions.as_ref());
        common_homes(self.home_regions.as_ref(), of_customer)
    }
}

/// Returns the regions that two sources of home regions have in common; `None` stands for all regions.
pub(crate) fn common_homes(
    one: Option<&Arc<[Name]>>,
    other: Option<&Arc<[Name]>>,
) -> Option<Arc<[Name]>> {
    match (one, other) {
        (None, regions) | (regions, None) => regions.cloned(),
        (Some(one), Some(other)) => {
            Some(one.iter().filter(|region| other.contains(region)).cloned().collect())
        }
    }
}

/// Whether requests on a route need a customer's key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteAccess {
    /// No key is needed.
    Public,
    /// A customer's key is needed.
    Closed,
    /// A customer's key is needed if the configuration has a table of customers.
    ClosedIfCustomers,
}

/// Whether a request may use a route.
#[derive(Debug, Clone, PartialEq)]
pub enum AccessDecision {
    /// The request is allowed; it belongs to this customer if it has a key.
    Allowed(Option<Arc<Customer>>),
    /// The request is denied for this reason.
    Denied(&'static str),
}

/// Limits of what callers may send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum length of a request's head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum length of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Time from the first byte of a head within which all of it must arrive.
    pub head_timeout: Duration,
    /// Time without a byte, between two requests or within a body, after which a connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits that apply until the first configuration arrives; they are common defaults of HTTP
    /// servers.
    fn default() -> CallerLimits {
        CallerLimits {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 1 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A complete configuration.
#[derive(Debug, Clone, Default)]
pub struct RouteConfig {
    /// Version of the configuration, which only increases.
    pub version: u64,
    /// Limits of what callers may send.
    pub limits: CallerLimits,
    /// Table of customers; `None` if the configuration has none.
    pub customers: Option<CustomerTable>,
    /// Rate limit of each cold target of a service, over all boxes together, for services that have one.
    pub cold_rates: HashMap<Name, RequestRate>,
    /// Entries that are invalid and not used as they are.
    pub invalid_entries: InvalidEntries,
    routes: HashMap<String, Vec<Arc<Route>>>,
}

impl RouteConfig {
    /// Creates a configuration with these routes, and without customers and limits of cold targets.
    pub fn new(version: u64, limits: CallerLimits, routes: Vec<Route>) -> RouteConfig {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            // The longest matching prefix wins, so longer prefixes come first.
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        RouteConfig { version, limits, routes: hosts, ..RouteConfig::default() }
    }

    /// Sets the table of customers.
    pub fn with_customers(self, customers: CustomerTable) -> RouteConfig {
        RouteConfig { customers: Some(customers), ..self }
    }

    /// Sets the rate limits of cold targets.
    pub fn with_cold_rates(self, cold_rates: HashMap<Name, RequestRate>) -> RouteConfig {
        RouteConfig { cold_rates, ..self }
    }

    /// Sets the invalid entries.
    pub fn with_invalid_entries(self, invalid_entries: InvalidEntries) -> RouteConfig {
        RouteConfig { invalid_entries, ..self }
    }

    /// Decides whether a request with that key may use `route`, and which customer it belongs to.
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

    /// Returns the quota of the customer with that name over all boxes; `None` if there is no limit.
    pub fn quota_of(&self, customer: &Name) -> Option<QuotaLimit> {
        self.customers.as_ref()?.quota_of(customer)
    }

    /// Returns the home regions of all routes and customers, with duplicates.
    pub fn home_regions(&self) -> impl Iterator<Item = &Name> {
        let routes =
            self.routes.values().flatten().filter_map(|route| route.home_regions.as_deref());
        let customers = self.customers.iter().flat_map(CustomerTable::home_regions);
        routes.flatten().chain(customers)
    }

    /// Returns whether the configuration has closed routes but no customer who could use them.
    pub fn has_unusable_closed_routes(&self) -> bool {
        let is_closed = |route: &Arc<Route>| route.access == RouteAccess::Closed;
        let has_customers = self.customers.as_ref().is_some_and(|customers| !customers.is_empty());
        !has_customers && self.routes.values().flatten().any(is_closed)
    }

    /// Returns the route with the longest matching prefix for a request.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes.get(host)?.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Returns whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}
