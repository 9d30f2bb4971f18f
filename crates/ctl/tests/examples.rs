//! Tests that the example configurations of both sites are valid and that their services, policies and routes
//! are consistent.

use std::fs;
use std::path::{Path, PathBuf};

use wingbridge_config::{RouteTable, parse_services};
use wingbridge_policy::{PolicyDecision, PolicyProgram, RequestView};

fn site_folder(site: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(site)
}

#[test]
fn example_sites_are_valid_and_consistent() {
    for (site, targets) in [("sedlo", 30), ("dakar", 40)] {
        let folder = site_folder(site);
        let text = fs::read_to_string(folder.join("services.toml")).expect("the file can be read");
        let services = parse_services(&text).unwrap_or_else(|error| panic!("{site}: {error}"));
        let counted: usize = services.iter().map(|service| service.setup.targets.len()).sum();
        assert_eq!(counted, targets, "{site}");
        for service in &services {
            let file = folder.join(format!("{}.rhai", service.policy));
            let program = fs::read_to_string(&file).expect("each service has a policy");
            let program = PolicyProgram::compile(&program)
                .unwrap_or_else(|fault| panic!("{}: {fault}", file.display()));
            let request = RequestView::new("GET", &service.routes[0], "", "me", Vec::new());
            let Ok(PolicyDecision::Route(plan)) = program.plan(request) else {
                panic!("{site}: a GET request is not routed");
            };
            assert!(plan.repeatable, "{site}: a GET request may be repeated");
            let is_configured = services.iter().any(|other| *other.setup.name == *plan.service);
            assert!(is_configured, "{site}: {} is not a configured service", plan.service);
        }
    }
}

#[test]
fn orders_run_at_most_once_at_both_sites() {
    for site in ["sedlo", "dakar"] {
        let text = fs::read_to_string(site_folder(site).join("orders.rhai"))
            .expect("the policy can be read");
        let program = PolicyProgram::compile(&text).expect("the policy is valid");
        let request = RequestView::new("POST", "/orders", "", "me", Vec::new());
        let Ok(PolicyDecision::Route(plan)) = program.plan(request) else {
            panic!("a POST request is not routed")
        };
        assert!(!plan.repeatable && !plan.cancel_on_hangup, "{site}");
    }
}

struct ConfigCase {
    name: &'static str,
    line: &'static str,
    expected: &'static str,
}

#[test]
fn invalid_services_are_rejected_with_setting_value_and_allowed_range() {
    let cases = [
        ConfigCase { name: "floor", line: "floor = 1.5", expected: "floor = 1.5: allowed is" },
        ConfigCase { name: "bias", line: "bias = \"bold\"", expected: "bias = bold: allowed is" },
        ConfigCase { name: "open", line: "open = 0", expected: "open = 0: allowed is" },
        ConfigCase { name: "back-off", line: "backoff_s = 900", expected: "backoff_s = 900" },
        ConfigCase { name: "unknown setting", line: "flor = 0.5", expected: "flor" },
        ConfigCase { name: "no number", line: "floor = \"much\"", expected: "floor" },
    ];
    for case in cases {
        let text = format!(
            "[[service]]\nname = \"a\"\npolicy = \"p\"\nroutes = [\"/a\"]\nslots = 3\n\
             targets = [\"127.0.0.1:80\"]\n{}\n",
            case.line
        );
        let error = parse_services(&text).expect_err(case.name).to_string();
        assert!(error.contains(case.expected), "{}: {error}", case.name);
    }
    let host_name =
        "[[service]]\nname='a'\npolicy='p'\nroutes=['/a']\nslots=3\ntargets=['localhost:80']\n";
    assert!(parse_services(host_name).expect_err("a host name").to_string().contains("IP number"));
}

#[test]
fn the_longest_route_that_matches_complete_segments_is_selected() {
    let table = RouteTable::new([
        ("/maps", "maps".into()),
        ("/maps/old/", "archive".into()),
        ("/", "rest".into()),
    ]);
    let found = |path: &str| table.find(path).map(|name| name.to_string());
    assert_eq!(found("/maps/new"), Some("maps".into()));
    assert_eq!(found("/maps/old/7"), Some("archive".into()));
    assert_eq!(found("/mapsnot"), Some("rest".into()));
    assert_eq!(RouteTable::new([("/a", "a".into())]).find("/b"), None);
}
