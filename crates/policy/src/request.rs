//! The view of a request that policy programs get.

use std::sync::Arc;
use std::time::Duration;

/// The properties of a request that a policy program can read. Clones share them.
#[derive(Debug, Clone)]
pub struct RequestView {
    parts: Arc<RequestParts>,
    route_defaults: RouteDefaults,
}

/// The values that a route table gives for a request. Programs read them as `request.offer` and may
/// adopt them.
#[derive(Debug, Clone)]
pub struct RouteDefaults {
    /// The name of the service.
    pub service: Arc<str>,
    /// The timeout of the route.
    pub timeout: Duration,
    /// Maximum number of attempts, including the first.
    pub max_attempts: u32,
    /// Priority in queues; requests with a higher value are served first.
    pub priority: u8,
}

impl Default for RouteDefaults {
    /// Returns the values for sample requests at compile time and for boxes without a route table.
    fn default() -> RouteDefaults {
        RouteDefaults {
            service: "".into(),
            timeout: Duration::from_secs(1),
            max_attempts: 1,
            priority: 0,
        }
    }
}

#[derive(Debug)]
struct RequestParts {
    method: String,
    path: String,
    query: String,
    caller: String,
    headers: Vec<(String, String)>,
}

impl RequestView {
    /// Creates a view of a request, with the default [`RouteDefaults`].
    pub fn new(
        method: &str,
        path: &str,
        query: &str,
        caller: &str,
        headers: Vec<(String, String)>,
    ) -> RequestView {
        let parts = RequestParts {
            method: method.to_string(),
            path: path.to_string(),
            query: query.to_string(),
            caller: caller.to_string(),
            headers,
        };
        RequestView { parts: Arc::new(parts), route_defaults: RouteDefaults::default() }
    }

    /// Returns the view with the values of a route table.
    pub fn with_route_defaults(self, route_defaults: RouteDefaults) -> RequestView {
        RequestView { route_defaults, ..self }
    }

    pub(crate) fn route_defaults(&self) -> RouteDefaults {
        self.route_defaults.clone()
    }

    pub(crate) fn method(&self) -> String {
        self.parts.method.clone()
    }

    pub(crate) fn path(&self) -> String {
        self.parts.path.clone()
    }

    pub(crate) fn query(&self) -> String {
        self.parts.query.clone()
    }

    pub(crate) fn caller(&self) -> String {
        self.parts.caller.clone()
    }

    /// Returns the first value of the header `name`, ignoring case, or an empty string.
    pub(crate) fn header(&self, name: &str) -> String {
        let found = self.parts.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.clone()).unwrap_or_default()
    }
}
