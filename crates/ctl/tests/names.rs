//! Names on the command line that become parts of keys.

use std::process::Command;

/// A name with a `#` or `&` had another key read, written, or waited for than the one of the named service.
#[test]
fn a_service_name_that_no_service_can_have_is_refused() {
    for command in ["eject", "drain", "restore"] {
        for name in ["a#b", "a&b", "a?b", "..", "a/b", "a\nb", "A", ""] {
            // Nothing listens at these addresses: a call would fail with another reason.
            let addresses = ["--store", "127.0.0.1:1", "--agents", "127.0.0.1:1"];
            let output = Command::new(env!("CARGO_BIN_EXE_wingctl"))
                .args(addresses)
                .args([command, name, "10.0.0.1:80"])
                .output()
                .expect("the program starts");
            let reason = String::from_utf8_lossy(&output.stderr);
            assert!(!output.status.success(), "{command} {name:?}");
            assert!(reason.contains("1 to 63 lower-case letters"), "{command} {name:?}: {reason}");
        }
    }
}
