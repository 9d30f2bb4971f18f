//! A request as policies see it.

use std::sync::Arc;

/// What a policy may ask of a request. Clones share it.
#[derive(Debug, Clone)]
pub struct RequestView {
    parts: Arc<RequestParts>,
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
        RequestView { parts: Arc::new(parts) }
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
