//! The program's output and exit code for valid, unusual and malformed lines.

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

/// Runs the program on `input`. Returns its exit code, standard output and standard error.
fn run(input: &str) -> (Option<i32>, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_gullsail-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // Writing may fail, since the program exits at a malformed line. The tests check its output.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    let out = child.wait_with_output().unwrap();
    let text = |b| String::from_utf8(b).unwrap();
    (out.status.code(), text(out.stdout), text(out.stderr))
}

#[test]
fn a_request_is_sent_to_the_listed_node() {
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

/// Requests with a plan, a request class or a shard that is not known, and lists with an unknown health, do not
/// end the program: the requests are answered at once. Settings without plans accept requests of any plan.
#[test]
fn requests_with_unknown_names_are_answered_at_once() {
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
fn events_for_hosts_that_do_not_run_are_ignored_with_a_warning() {
    let inputs = [
        batch(&[ACCEPT]),
        batch(&[START, LIST, r#"{"type":"Detach","host":3}"#, ACCEPT]),
    ];
    for input in inputs {
        let (code, out, err) = run(&input);
        assert_eq!((code, out.as_str()), (Some(0), "{\"outbox\":[]}\n"));
        assert_eq!(err.lines().count(), 1, "{err}");
    }
}

#[test]
fn malformed_input_ends_the_program_with_one_error_line() {
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
