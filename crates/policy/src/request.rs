//! A request as policies see it.

use std::sync::Arc;
use std::time::Duration;

/// What a policy may ask of a request. Clones share it.
#[derive(Debug, Clone)]
pub struct RequestView {
    parts: Arc<RequestParts>,
    offer: RouteDefaults,
}

/// What a route table says of a request, where there is one: programs may take it as it is.
#[derive(Debug, Clone)]
pub struct RouteDefaults {
    /// The service.
    pub service: Arc<str>,
    /// The route's time.
    pub timeout: Duration,
    /// Attempts at most, the first counted.
    pub attempts: u32,
    /// Higher goes first.
    pub priority: u8,
}

impl Default for RouteDefaults {
    /// What programs are tried on, and what they see where there is no route table.
    fn default() -> RouteDefaults {
        RouteDefaults {
            service: "".into(),
            timeout: Duration::from_secs(1),
            attempts: 1,
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
    /// A view of a request; header names are in lower case.
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
        RequestView { parts: Arc::new(parts), offer: RouteDefaults::default() }
    }

    /// The same with what a route table says of it.
    pub fn with_route_defaults(self, offer: RouteDefaults) -> RequestView {
        RequestView { offer, ..self }
    }

    pub(crate) fn offer(&self) -> RouteDefaults {
        self.offer.clone()
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

    /// The header's value, or an empty string.
    pub(crate) fn header(&self, name: &str) -> String {
        let found = self.parts.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.clone()).unwrap_or_default()
    }
}
