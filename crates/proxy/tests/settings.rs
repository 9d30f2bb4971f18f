//! Settings are checked once, and a wrong one is named with its value and what is allowed.

use wingbridge_proxy::{proxy_command, resolve};

struct SettingCase {
    name: &'static str,
    flag: &'static str,
    says: &'static str,
}

const SOUND: [&str; 5] = [
    "wingbridge-proxy",
    "--box-id=box-1",
    "--data-centre=dc-1",
    "--agent=127.0.0.1:7102",
    "--fleet-key=a secret of sixteen and more",
];

#[test]
fn wrong_settings_are_named() {
    let cases = [
        SettingCase {
            name: "no number",
            flag: "--connections=many",
            says: "--connections is 'many'",
        },
        SettingCase { name: "below", flag: "--held-bytes=1", says: "1024 to" },
        SettingCase { name: "above", flag: "--io-threads=1000", says: "1 to 256" },
        SettingCase {
            name: "host name",
            flag: "--listen=localhost:80",
            says: "an IP number and a port",
        },
        SettingCase { name: "agent elsewhere", flag: "--agent=10.0.0.1:7102", says: "on loopback" },
        SettingCase { name: "short key", flag: "--fleet-key=short", says: "(hidden)" },
        SettingCase { name: "log level", flag: "--log-level=loud", says: "trace" },
    ];
    for case in cases {
        let matches = proxy_command()
            .args_override_self(true)
            .try_get_matches_from(SOUND.iter().chain([&case.flag]))
            .expect("the flag is known");
        let error = resolve(&matches).expect_err(case.name).to_string();
        assert!(error.contains(case.says), "{}: {error}", case.name);
        assert!(error.contains("allowed is"), "{}: {error}", case.name);
    }
}

#[test]
fn sound_settings_are_taken() {
    let matches = proxy_command().try_get_matches_from(SOUND).expect("known flags");
    let settings = resolve(&matches).expect("sound settings");
    assert_eq!((settings.io_threads, settings.max_buffered_response_bytes), (1, 262_144));
}
