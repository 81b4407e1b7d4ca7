//! A valid document, and invalid variants of it with the code and position of the problem that each must report.

use gullsail_configuration::*;
use gullsail_scheduler_api::*;

const VALID: &str = r#"
zone "a"
rules tick="20ms" most-units=8 order-settle="200ms" advice="1s"
cold units=40 window="1.5s" first-part=0.2 ramp="8s"
legs most=3 free=4 share=0.1 window="5s"
stream-type "read" effect="repeatable" slo="150ms" expiry="1.2s" benefit=2 late-part=0.1
stream-type "write" effect="keyed" group="cell" window="5s" slo="200ms" expiry="2s" write=#true in-order=#true
plan "base" limit="40units/s" burst=64 slack=8 usual="10units/s"
plan "gold" reserve="20units/s" usual="20units/s" weight=2
machine "box" cores=2 unit="5ms" queue=40
host "h1" zone="a" address="127.0.0.1:7001"
host "h2" zone="a" address="127.0.0.1:7002"
node "n1" cell=0 zone="a" address="127.0.0.1:8001" machine="box"
list address="127.0.0.1:9001" late="300ms"
volume "v1" plan="base" { hosts "h1" "h2"; }
volume "v2" plan="gold"
"#;

#[test]
fn valid_document_becomes_a_configuration() {
    let d = parse("valid.kdl", VALID).unwrap();
    let f = d.config(HostId(1));
    assert_eq!((f.host_id, f.host_count, f.max_attempts), (HostId(1), 2, 3));
    assert_eq!(
        (f.tick, f.slow_start.window),
        (Span::from_millis(20.0), Span::from_millis(1500.0))
    );
    assert_eq!(
        f.request_classes[1].idempotency,
        Idempotency::WithKey {
            scope: IdempotencyScope::Shard,
            window: Span::from_millis(5000.0)
        }
    );
    assert!(f.request_classes[1].in_order && d.request_classes[1].write);
    assert_eq!(
        f.plans[0].limit.map(|l| (l.rate, l.burst)),
        Some((40.0, 64.0))
    );
    assert_eq!(*d.volumes[0].hosts, [HostId(0), HostId(1)]);
    assert_eq!(
        d.volumes[1].hosts.len(),
        2,
        "a volume without hosts is served by all"
    );
    assert_eq!(d.volume("v1").unwrap().id.0 >> 48, 0, "an id has six bytes");
    assert_eq!(d.list_late, Span::from_millis(300.0));
}

#[test]
fn each_error_has_its_code_and_position() {
    // text that is replaced in the valid document, its replacement; code, line, column and part of the message or help
    let cases = [
        (
            "slo=\"150ms\"",
            "slo=150",
            "wrong-kind",
            6,
            40,
            "with its unit",
        ),
        ("slo=\"150ms\"", "slo=\"150\"", "wrong-kind", 6, 40, "span"),
        (
            "slo=\"150ms\"",
            "slow=\"150ms\"",
            "unknown-key",
            6,
            40,
            "did you mean `slo`",
        ),
        (
            "slo=\"150ms\"",
            "slo=\"3s\"",
            "slo-past-expiry",
            6,
            1,
            "longer than the expiry",
        ),
        (
            "effect=\"repeatable\"",
            "effect=\"repeatible\"",
            "unknown-word",
            6,
            20,
            "`repeatable`",
        ),
        (
            "effect=\"repeatable\"",
            "effect=\"repeatable\" group=\"all\"",
            "contradiction",
            6,
            40,
            "keyed",
        ),
        ("expiry=\"1.2s\"", "", "missing", 6, 1, "`expiry`"),
        (
            "first-part=0.2",
            "first-part=20",
            "wrong-kind",
            4,
            29,
            "0 to 1",
        ),
        (
            "first-part=0.2",
            "first-part=\"20ms\"",
            "wrong-kind",
            4,
            29,
            "30%",
        ),
        (
            "first-part=0.2",
            "first-part=\"120%\"",
            "wrong-kind",
            4,
            29,
            "0 to 1",
        ),
        (
            "list address",
            "bounds held-bytes=5\nlist address",
            "wrong-kind",
            14,
            8,
            "with their unit",
        ),
        (
            "list address",
            "bounds held-bytes=\"5\"\nlist address",
            "wrong-kind",
            14,
            8,
            "with their unit",
        ),
        (
            "list address",
            "bounds held-bytes=\"5s\"\nlist address",
            "wrong-kind",
            14,
            8,
            "64KiB",
        ),
        (
            "list address",
            "bounds held-bytes=\"-5MB\"\nlist address",
            "wrong-kind",
            14,
            8,
            "64KiB",
        ),
        (
            "list address",
            "bounds connect=\"5MB\"\nlist address",
            "wrong-kind",
            14,
            8,
            "a span is written",
        ),
        (
            "list address",
            "bounds connect=\"9999999999h\"\nlist address",
            "wrong-kind",
            14,
            8,
            "a span",
        ),
        (
            "limit=\"40units/s\"",
            "limit=#nan",
            "wrong-kind",
            8,
            13,
            "a rate is written",
        ),
        (
            "limit=\"40units/s\"",
            "limit=40",
            "wrong-kind",
            8,
            13,
            "with its unit",
        ),
        (
            "limit=\"40units/s\"",
            "limit=\"NaNunits/s\"",
            "wrong-kind",
            8,
            13,
            "a rate",
        ),
        (
            "limit=\"40units/s\"",
            "limit=\"infunits/s\"",
            "wrong-kind",
            8,
            13,
            "a rate",
        ),
        (
            "limit=\"40units/s\"",
            "limit=\"-1units/s\"",
            "wrong-kind",
            8,
            13,
            "at least",
        ),
        (
            "limit=\"40units/s\"",
            "limit=\"1MiB/s\"",
            "no-unit",
            8,
            13,
            "unit=\"64KiB\"",
        ),
        (
            "usual=\"10units/s\"",
            "usual=\"10units/s\" reserve=\"60units/s\"",
            "limit-under-reserve",
            8,
            1,
            "under the reserve",
        ),
        (
            "burst=64",
            "burst=31",
            "burst-too-small",
            15,
            1,
            "32 or more",
        ),
        (
            "host \"h2\"",
            "host \"h1\"",
            "twice",
            12,
            1,
            "second `host`",
        ),
        (
            "\"h1\" \"h2\"",
            "\"h1\" \"h3\"",
            "unknown-name",
            15,
            38,
            "did you mean",
        ),
        ("\"h1\" \"h2\"", "\"h1\" \"h1\"", "twice", 15, 38, "twice"),
        (
            "plan=\"gold\"",
            "plan=\"golt\"",
            "unknown-name",
            16,
            13,
            "did you mean `gold`",
        ),
        ("cell=0", "cell=\"0\"", "wrong-kind", 13, 11, "number"),
        (
            "list address",
            "lost address",
            "unknown-node",
            14,
            1,
            "`list`",
        ),
        (
            "zone=\"a\" address=\"127.0.0.1:7001\"",
            "",
            "missing",
            11,
            1,
            "`zone`",
        ),
        (
            "volume \"v2\" plan=\"gold\"",
            "volume \"v2\" plan=\"gold\" {",
            "syntax",
            16,
            25,
            "",
        ),
    ];
    for (old, new, code, line, column, part) in cases {
        assert!(VALID.contains(old), "{old}");
        let text = VALID.replacen(old, new, 1);
        let problems = parse("broken.kdl", &text).expect_err(new);
        let found = problems.problems.iter().find(|p| p.code == code);
        let p = found.unwrap_or_else(|| panic!("{new}: {:?}", problems.problems));
        let texts = format!("{} {}", p.message, p.help.as_deref().unwrap_or_default());
        assert_eq!((p.line, p.column), (line, column), "{new}: {texts}");
        assert!(texts.contains(part), "{new}: {texts}");
    }
}

#[test]
fn all_errors_are_reported_at_once() {
    let text = VALID
        .replace("slo=\"150ms\"", "slo=1")
        .replace("plan=\"gold\"", "plan=\"x\"");
    let problems = parse("broken.kdl", &text).unwrap_err();
    assert_eq!(
        problems.problems.iter().map(|p| p.code).collect::<Vec<_>>(),
        ["wrong-kind", "unknown-name"]
    );
    assert!(
        problems.to_string().contains("2 problems in broken.kdl"),
        "{problems}"
    );
}
