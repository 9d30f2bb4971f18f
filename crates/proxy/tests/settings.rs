//! An invalid setting is reported with its value and the allowed values.

use wingbridge_proxy::{proxy_command, resolve};

struct SettingCase {
    name: &'static str,
    flag: &'static str,
    expected: &'static str,
}

const VALID: [&str; 5] = [
    "wingbridge-proxy",
    "--box-id=box-1",
    "--data-centre=dc-1",
    "--agent=127.0.0.1:7102",
    "--fleet-key=a secret of sixteen and more",
];

#[test]
fn invalid_settings_are_reported() {
    let cases = [
        SettingCase {
            name: "not a number",
            flag: "--connections=many",
            expected: "--connections is 'many'",
        },
        SettingCase { name: "below the minimum", flag: "--held-bytes=1", expected: "1024 to" },
        SettingCase { name: "above the maximum", flag: "--io-threads=1000", expected: "1 to 256" },
        SettingCase {
            name: "host name",
            flag: "--listen=localhost:80",
            expected: "an IP number and a port",
        },
        SettingCase {
            name: "agent on another host",
            flag: "--agent=10.0.0.1:7102",
            expected: "on loopback",
        },
        SettingCase { name: "short key", flag: "--fleet-key=short", expected: "(hidden)" },
        SettingCase { name: "unknown log level", flag: "--log-level=loud", expected: "trace" },
    ];
    for case in cases {
        let matches = proxy_command()
            .args_override_self(true)
            .try_get_matches_from(VALID.iter().chain([&case.flag]))
            .expect("the flag is known");
        let error = resolve(&matches).expect_err(case.name).to_string();
        assert!(error.contains(case.expected), "{}: {error}", case.name);
        assert!(error.contains("allowed is"), "{}: {error}", case.name);
    }
}

#[test]
fn valid_settings_are_accepted() {
    let matches = proxy_command().try_get_matches_from(VALID).expect("known flags");
    let settings = resolve(&matches).expect("valid settings");
    assert_eq!((settings.io_threads, settings.max_buffered_response_bytes), (1, 262_144));
}
