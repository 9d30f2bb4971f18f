//! What the scripts have in common.

/// How a script ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

/// The operator's configuration, by the sheet of `sites/sedlo-gw.toml`.
pub fn config_json(version: u32) -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, timeout: &str| {
        format!(
            r#""{name}":{{"host":"hut.example","path_prefix":"{prefix}","kind":"{kind}","timeout":"{timeout}","goal":"1000ms","priority":1,"attempts":2,"service":"{service}"}}"#
        )
    };
    let routes = [
        route("avail-read", "/avail/", "idempotent", "luzka", "2500ms"),
        route("book-act", "/book/", "non_idempotent", "rezerv", "3000ms"),
    ];
    format!(
        r#"{{"version":"{version:08x}","routes":{{{}}},"services":{{"luzka":{{}},"rezerv":{{}}}},"limits":{{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"5s","idle_timeout":"20s"}}}}"#,
        routes.join(",")
    )
}
