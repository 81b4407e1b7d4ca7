//! The commands on documents, with the exit codes and output that people and CI rely on.

use std::path::Path;
use std::process::{Command, Output};

fn gullsail(dir: &Path, arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_gullsail"))
        .current_dir(dir)
        .args(arguments)
        .output()
        .unwrap()
}

fn stdout(o: &Output) -> String {
    String::from_utf8_lossy(&o.stdout).into_owned()
}

const MAIN: &str = "include \"plans.kdl\"\nstream-type \"r\" effect=\"repeatable\" slo=\"1s\" expiry=\"2s\"\n\
    host \"h1\"\nhost \"h2\"\ntemplate \"t\" {\n    volume \"$name\" plan=\"p\" { hosts \"h1\"; }\n}\n\
    use \"t\" name=\"mine\"\nvolume \"theirs\" plan=\"p\" { hosts \"h2\"; }\n";

fn folder() -> tempfile::TempDir {
    let dir = tempfile::tempdir().unwrap();
    std::fs::write(dir.path().join("main.kdl"), MAIN).unwrap();
    std::fs::write(
        dir.path().join("plans.kdl"),
        "plan \"p\" limit=\"100units/s\" burst=64 // why\n",
    )
    .unwrap();
    dir
}

#[test]
fn check_accepts_a_valid_document_and_locates_the_problems_of_a_broken_one() {
    let dir = folder();
    let valid = gullsail(dir.path(), &["check", "main.kdl"]);
    assert_eq!(
        (valid.status.code(), stdout(&valid).contains("2 hosts")),
        (Some(0), true)
    );
    std::fs::write(
        dir.path().join("plans.kdl"),
        "plan \"p\" limit=\"100units/s\" burst=\"64\"\nplan \"q\" limi=5\n",
    )
    .unwrap();
    let broken = gullsail(dir.path(), &["check", "--json", "main.kdl"]);
    assert_eq!(broken.status.code(), Some(2));
    let lines: Vec<serde_json::Value> = stdout(&broken)
        .lines()
        .map(|l| serde_json::from_str(l).unwrap())
        .collect();
    let place = |v: &serde_json::Value| {
        (
            v["code"].clone(),
            v["file"].clone(),
            v["line"].clone(),
            v["column"].clone(),
        )
    };
    let wanted = [("wrong-kind", 1, 29), ("unknown-key", 2, 10)];
    let wanted: Vec<_> = wanted
        .iter()
        .map(|w| (w.0.into(), "plans.kdl".into(), w.1.into(), w.2.into()))
        .collect();
    let found: Vec<_> = lines.iter().map(place).collect();
    assert_eq!(&found[..2], &wanted[..], "{found:?}");
    for code in ["wrong-kind", "loop"] {
        assert!(stdout(&gullsail(dir.path(), &["explain", code])).starts_with(code));
    }
    assert_eq!(
        gullsail(dir.path(), &["explain", "nonsense"]).status.code(),
        Some(2)
    );
}

#[test]
fn fmt_checks_formats_and_refuses_a_malformed_document() {
    let dir = folder();
    let read = |name: &str| std::fs::read_to_string(dir.path().join(name)).unwrap();
    let untidy = "plan   \"p\"   limit=\"100units/s\" burst=64 // why\n";
    std::fs::write(dir.path().join("plans.kdl"), untidy).unwrap();
    assert_eq!(
        gullsail(dir.path(), &["fmt", "--check", "plans.kdl"])
            .status
            .code(),
        Some(1)
    );
    assert_eq!(read("plans.kdl"), untidy);
    assert_eq!(
        gullsail(dir.path(), &["fmt", "plans.kdl"]).status.code(),
        Some(0)
    );
    assert!(read("plans.kdl").ends_with("// why\n") && read("plans.kdl") != untidy);
    assert_eq!(
        gullsail(dir.path(), &["fmt", "--check", "plans.kdl"])
            .status
            .code(),
        Some(0)
    );
    std::fs::write(dir.path().join("plans.kdl"), "plan \"p\" {\n").unwrap();
    let refused = gullsail(dir.path(), &["fmt", "plans.kdl"]);
    assert_eq!(
        (refused.status.code(), read("plans.kdl").as_str()),
        (Some(2), "plan \"p\" {\n")
    );
    assert!(
        String::from_utf8_lossy(&refused.stderr).contains("not formatted, the file is unchanged")
    );
}

#[test]
fn the_exit_code_of_a_diff_shows_its_kind_of_change() {
    let dir = folder();
    let cases = [
        ("plan \"p\" burst=64 limit=\"100units/s\"", 0, ""),
        (
            "plan \"p\" limit=\"200units/s\" burst=64",
            0,
            "safe      plan \"p\" limit",
        ),
        (
            "plan \"p\" limit=\"100units/s\" burst=64\nrules tick=\"9ms\"",
            1,
            "restart   rules tick",
        ),
        (
            "plan \"p\" limit=\"50units/s\" usual=\"80units/s\" burst=64",
            3,
            "dangerous plan \"p\" limit",
        ),
    ];
    for (plans, code, says) in cases {
        let new = dir.path().join("new");
        std::fs::create_dir_all(&new).unwrap();
        std::fs::write(new.join("main.kdl"), MAIN).unwrap();
        std::fs::write(new.join("plans.kdl"), plans).unwrap();
        let diff = gullsail(dir.path(), &["diff", "main.kdl", "new/main.kdl"]);
        assert_eq!(
            (diff.status.code(), stdout(&diff).contains(says)),
            (Some(code), true),
            "{}",
            stdout(&diff)
        );
        assert_eq!(stdout(&diff).is_empty(), says.is_empty());
    }
}

#[test]
fn show_prints_the_configuration_of_a_host_with_the_places_that_define_it() {
    let dir = folder();
    let shown = stdout(&gullsail(dir.path(), &["show", "main.kdl", "--host", "h1"]));
    assert!(shown.contains("// plans.kdl:1:1\nplan"), "{shown}");
    let mine =
        "// main.kdl:6:5, used at main.kdl:8:1\n//   mine given at main.kdl:8:9\nvolume mine";
    assert!(shown.contains(mine), "{shown}");
    assert!(!shown.contains("theirs"), "{shown}");
}

/// With nested templates: values that a `use` gives, values that an outer template passes on, and defaults.
#[test]
fn show_prints_the_place_of_each_template_value() {
    let dir = folder();
    let nested = "include \"plans.kdl\"\nstream-type \"r\" effect=\"repeatable\" slo=\"1s\" expiry=\"2s\"\n\
        host \"h1\"\ntemplate \"in\" plan=\"p\" host=\"h1\" {\n  volume \"$a-$b\" plan=\"$plan\" { hosts \"$host\"; }\n}\n\
        template \"out\" {\n  use \"in\" a=\"$x\" b=\"two\"\n}\nuse \"out\" x=\"one\"\n";
    std::fs::write(dir.path().join("main.kdl"), nested).unwrap();
    let shown = stdout(&gullsail(dir.path(), &["show", "main.kdl", "--host", "h1"]));
    for line in [
        "//   one-two given at main.kdl:10:11 and main.kdl:8:19, used at main.kdl:10:1",
        "//   plan=p given at main.kdl:4:15",
        "//   h1 given at main.kdl:4:24",
    ] {
        assert!(shown.contains(line), "{line}\n{shown}");
    }
}

const ZONED: &str = r#"rules unit="64KiB"
zone "a"
zone "b"
machine "m" cores=1 unit="10ms"
host "h1" zone="a" address="x:1"
host "h2" zone="b" address="x:2"
node "n{1..2}" cell="{1..2}" zone="a" kind="disk" machine="m"
node "n{3..9}" cell="{3..9}" zone="b" kind="disk" machine="m"
stream-type "w" effect="repeatable" slo="1s" expiry="2s" write=#true
plan "p" usual="300units/s" reserve="100units/s"
plan "q" usual="50units/s"
pool "disks" { kind "disk"; zone "a" "b"; }
crossing from="a" to="b" limit="MOSTMiB/s" burst="256MiB"
route to="disks" { volume "v"; }
route to="all"
volume "v" plan="p" { hosts "h1"; }
volume "w" plan="q" { hosts "h2"; }
"#;

/// The plan sends to zone b what the nodes of zone a cannot serve. It is a valid document whose changes are safe while
/// hosts serve. If the budget between the zones is too small for that, the command names the conflicting limits.
#[test]
fn zones_plan_writes_a_document_or_names_the_conflicting_limits() {
    let dir = tempfile::tempdir().unwrap();
    let write = |most: &str| {
        std::fs::write(dir.path().join("main.kdl"), ZONED.replace("MOST", most)).unwrap()
    };
    write("10");
    let plan = gullsail(
        dir.path(),
        &["zones", "plan", "main.kdl", "--out", "new.kdl"],
    );
    assert_eq!(
        plan.status.code(),
        Some(0),
        "{}",
        String::from_utf8_lossy(&plan.stderr)
    );
    // The nodes of zone a serve 180 of 300 units a second; the other 120, of 64 KiB each, cross to b.
    for says in [
        "volume v: a 11.2 MiB/s, b 7.5 MiB/s",
        "a to b: 7.5 of 10.0 MiB/s",
        "volume w: b 3.1 MiB/s",
        "one node more there saves",
    ] {
        assert!(stdout(&plan).contains(says), "{says}\n{}", stdout(&plan));
    }
    assert_eq!(
        gullsail(dir.path(), &["check", "new.kdl"]).status.code(),
        Some(0)
    );
    let diff = gullsail(dir.path(), &["diff", "main.kdl", "new.kdl"]);
    assert_eq!(diff.status.code(), Some(0), "{}", stdout(&diff));
    for says in [
        "volume \"v\" pool of w: disks -> disks-in-a-b",
        "volume \"w\" pool of w: all -> all-in-b",
    ] {
        assert!(stdout(&diff).contains(says), "{says}\n{}", stdout(&diff));
    }
    write("5");
    let plan = gullsail(dir.path(), &["zones", "plan", "main.kdl"]);
    assert_eq!(plan.status.code(), Some(1));
    let output = stdout(&plan);
    assert!(
        output.contains("the nodes of a can do, 180 units a second")
            && output.contains("the budget from a to b"),
        "{output}"
    );
    assert!(
        !output.contains("volume \"w\"") && !output.contains("the nodes of b"),
        "{output}"
    );
}
