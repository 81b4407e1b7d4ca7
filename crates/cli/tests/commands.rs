//! Renamed commands keep their old name as a hidden alias, so that operators' scripts continue to work.

use std::process::Command;

fn gullsail(arguments: &[&str]) -> (Option<i32>, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_gullsail"))
        .args(arguments)
        .output()
        .unwrap();
    (
        out.status.code(),
        String::from_utf8_lossy(&out.stdout).into_owned(),
    )
}

#[test]
fn old_command_names_are_hidden_aliases() {
    for (old, new) in [
        (&["day", "--list"][..], &["scenario", "--list"][..]),
        (
            &["day", "no-such-scenario"],
            &["scenario", "no-such-scenario"],
        ),
        (
            &["fleet", "works", "no.sock", "--json"],
            &["fleet", "maintenance", "no.sock", "--json"],
        ),
    ] {
        assert_eq!(gullsail(old), gullsail(new), "{old:?}");
    }
    let (code, listed) = gullsail(&["day", "--list"]);
    assert!(code == Some(0) && listed.contains("bad-day"), "{listed}");
    for (arguments, name) in [
        (&["--help"][..], "  day"),
        (&["fleet", "--help"], "  works"),
    ] {
        assert!(!gullsail(arguments).1.contains(name), "{name} is hidden");
    }
}
