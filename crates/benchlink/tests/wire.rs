//! What the adapter does with good, odd and bad lines.

use std::io::Write;
use std::process::{Command, Stdio};

const START: &str = r#"{"type":"Born","host":3,"rng-seed":9,"boot-info":{"failure-domains":["a"],
 "limits":{"max-attempts":3},"membership-mode":"ask","peers-total":1,"policies":[{"name":"p"}],
 "profiles":[{"name":"r","effect":"pure","give-up":900.0,"objective":200.0}],"rank":0,"rules":{},"tick":2.0}}"#;
const LIST: &str = r#"{"type":"Page","table":0,"hosts":[{"group":0,"health":"Ready","node":"n:1","new-key":1}]},
 {"type":"Fleet","host":3,"table":0,"mode":"warm_copy","epoch":1}"#;
const ACCEPT: &str = r#"{"type":"Accept","host":3,"id":5,"quota-units":1,"ttl":900.0,"grade":"p","profile":"r",
 "store-user":"v","lies-in":0,"object":"o","mounts":1}"#;

fn batch(events: &[&str]) -> String {
    format!(r#"{{"t":10.0,"arrivals":[{}]}}"#, events.join(",")).replace('\n', "") + "\n"
}

/// Exit code, standard output and standard error for what comes in.
fn run(input: &str) -> (Option<i32>, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_gullsail-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // It may stop reading at a bad line; what it says then is what counts.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    let out = child.wait_with_output().unwrap();
    let text = |b| String::from_utf8(b).unwrap();
    (out.status.code(), text(out.stdout), text(out.stderr))
}

#[test]
fn a_request_goes_out_and_input_ends() {
    let all = batch(&[]) + &batch(&[START, LIST, r#"{"type":"Novelty","host":3}"#, ACCEPT]);
    let (code, out, err) = run(&all);
    assert_eq!((code, err.as_str()), (Some(0), ""));
    let replies: Vec<_> = out.lines().collect();
    assert_eq!(replies[0], r#"{"outbox":[]}"#);
    for part in [
        r#""type":"StreamChanges""#,
        r#""type":"PassOn""#,
        r#""node":"n:1""#,
        r#""id":5"#,
    ] {
        assert!(replies[1].contains(part), "{part} in {out}");
    }
}

/// What no settings state is answered at once and ends nothing: a plan, a request class, a node's health; a
/// deployment may have no plans at all.
#[test]
fn what_nothing_defines_is_answered_at_once() {
    let bare = START.replace(r#""policies":[{"name":"p"}],"#, "");
    let odd_list = LIST.replace("Ready", "Dreaming");
    let cases = [
        (
            START,
            LIST,
            ACCEPT.replace(r#""grade":"p""#, r#""grade":"q""#),
            "NotNow",
        ),
        (
            START,
            LIST,
            ACCEPT.replace(r#""profile":"r""#, r#""profile":"x""#),
            "NotNow",
        ),
        (
            START,
            LIST,
            ACCEPT.replace(r#""lies-in":0"#, r#""lies-in":77"#),
            "NotNow",
        ),
        (START, &odd_list, ACCEPT.to_string(), "NotNow"),
        (START, LIST, ACCEPT.replace(r#""grade":"p","#, ""), "NotNow"),
        (&bare, LIST, ACCEPT.replace(r#""grade":"p","#, ""), "PassOn"),
        (&bare, LIST, ACCEPT.to_string(), "PassOn"),
    ];
    for (start, list, accept, answer) in cases {
        let (code, out, err) = run(&batch(&[start, list, &accept]));
        assert_eq!((code, err.as_str()), (Some(0), ""), "{accept}");
        assert!(
            out.contains(&format!(r#""type":"{answer}""#)),
            "{accept}: {out}"
        );
    }
}

#[test]
fn events_for_the_dead_are_skipped_with_a_line() {
    let dead = [
        batch(&[ACCEPT]),
        batch(&[START, LIST, r#"{"type":"Detach","host":3}"#, ACCEPT]),
    ];
    for input in dead {
        let (code, out, err) = run(&input);
        assert_eq!((code, out.as_str()), (Some(0), "{\"outbox\":[]}\n"));
        assert_eq!(err.lines().count(), 1, "{err}");
    }
}

#[test]
fn malformed_input_ends_it_plainly() {
    let cases = [
        "not json\n".to_string(),
        "{\"t\":1.0}\n".to_string(),
        "{\"t\":1.0,\"arrivals\":[".to_string(),
        batch(&[r#"{"host":3}"#]),
        batch(&[START, r#"{"type":"Accept","host":3,"id":5}"#]),
        batch(&[START, r#"{"type":"Timer","host":3}"#]),
        batch(&[
            START,
            r#"{"type":"Fleet","host":3,"table":4,"mode":"total"}"#,
        ]),
        batch(&[START, r#"{"type":"Heard","host":3,"src":1,"octets":"*"}"#]),
        batch(&[&START.replace("\"rank\":0,", "")]),
    ];
    for input in cases {
        let (code, out, err) = run(&input);
        assert!(code.is_some_and(|c| c != 0), "{input}");
        assert_eq!(
            (out.as_str(), err.lines().count()),
            ("", 1),
            "{input}: {err}"
        );
        assert!(!err.contains("panicked"), "{err}");
    }
}
