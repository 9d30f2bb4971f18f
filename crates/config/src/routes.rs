//! Which service's policy plans a request: the longest prefix of whole segments.

use std::collections::HashMap;

use wingbridge_decide::Name;

/// Routes of all services. A look-up costs one hash for each segment of the path,
/// however many routes there are.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    routes: HashMap<String, Name>,
}

impl RouteTable {
    /// Makes a table of pairs of route and service. Where two services claim a
    /// route, the lesser name has it, in every box.
    pub fn new<'a>(routes: impl IntoIterator<Item = (&'a str, Name)>) -> RouteTable {
        let mut table: HashMap<String, Name> = HashMap::new();
        for (route, service) in routes {
            let held = table.entry(trimmed(route).to_string()).or_insert_with(|| service.clone());
            if service < *held {
                *held = service;
            }
        }
        RouteTable { routes: table }
    }

    /// The service that plans a request for `path`.
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
