//! The route table: finds the service of a request by the longest prefix of complete path segments.

use std::collections::HashMap;

use wingbridge_decide::Name;

/// The routes of all services. A look-up costs one hash per path segment, independent of the
/// number of routes.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    routes: HashMap<String, Name>,
}

impl RouteTable {
    /// Creates a table from pairs of route and service. If two services claim a route, the service
    /// whose name sorts first gets it, so that all boxes agree.
    pub fn new<'a>(routes: impl IntoIterator<Item = (&'a str, Name)>) -> RouteTable {
        let mut table: HashMap<String, Name> = HashMap::new();
        for (route, service) in routes {
            let current =
                table.entry(trimmed(route).to_string()).or_insert_with(|| service.clone());
            if service < *current {
                *current = service;
            }
        }
        RouteTable { routes: table }
    }

    /// Returns the service whose policy plans requests for `path`.
    pub fn find(&self, path: &str) -> Option<&Name> {
        let mut prefix = trimmed(path);
        loop {
            if let Some(service) = self.routes.get(prefix) {
                return Some(service);
            }
            let end = prefix.rfind('/')?;
            prefix = &prefix[..end];
        }
    }
}

fn trimmed(route: &str) -> &str {
    route.trim_end_matches('/')
}
