//! Operators' commands to a host that is shutting down or has been killed.

use crate::rig::{gullsail, host, maintenance_document, until};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;

const OUT: &str = "{\"ask\":\"word\",\"kind\":\"out\",\"names\":[\"n1\"]}\n";

/// Connects and writes an `out` command; the reply is not read yet.
fn operator(socket: &Path) -> UnixStream {
    let mut stream = UnixStream::connect(socket).unwrap();
    stream.write_all(OUT.as_bytes()).unwrap();
    stream
}

/// Guards against connections that end without a reply: the host stops while commands wait. It is the only running host
/// of its fleet, so it cannot learn their result, and all operators connect while the process is paused.
#[test]
fn each_command_to_a_stopping_host_gets_a_reply() {
    let dir = tempfile::tempdir().unwrap();
    let dir = dir.path();
    std::fs::write(dir.join("works.kdl"), maintenance_document()).unwrap();
    let mut alone = host(dir, "works.kdl", "h1", "h1.sock");
    until(dir, "h1.sock", "it serves", |status| status.is_object());
    let id = Pid::from_raw(alone.0.id() as i32);
    kill(id, Signal::SIGSTOP).unwrap();
    let operators = [(); 12].map(|()| operator(&dir.join("h1.sock")));
    kill(id, Signal::SIGTERM).unwrap();
    kill(id, Signal::SIGCONT).unwrap();
    for mut operator in operators {
        kill(id, Signal::SIGTERM).unwrap();
        let mut reply = String::new();
        operator.read_to_string(&mut reply).unwrap();
        let parsed: serde_json::Value = serde_json::from_str(&reply).expect(&reply);
        assert!(reply.contains("this host is leaving"), "{reply}");
        let told = parsed["told"].as_str().unwrap();
        assert!(
            ["word-unknown", "turned-down", "error"].contains(&told),
            "{reply}"
        );
    }
    assert!(alone.0.wait().unwrap().success());
}

/// Exit code and output of `gullsail fleet out` when the host sends this reply; an empty one is a closed connection.
fn out_with_reply(reply: &'static str) -> (Option<i32>, String) {
    let dir = tempfile::tempdir().unwrap();
    let listener = UnixListener::bind(dir.path().join("h1.sock")).unwrap();
    let replying = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut line = String::new();
        BufReader::new(&stream).read_line(&mut line).unwrap();
        stream.write_all(reply.as_bytes()).unwrap();
    });
    let output = gullsail(dir.path(), &["fleet", "out", "h1.sock", "n1"]);
    replying.join().unwrap();
    output
}

/// Guards against an unknown result that scripts take for a refusal: the command may have taken effect.
#[test]
fn an_unknown_result_has_a_separate_exit_code() {
    let told = "{\"told\":\"word-unknown\",\"why\":\"see another host\"}\n";
    let unknown = out_with_reply(told);
    assert_eq!(
        unknown,
        (Some(3), "result unknown: see another host\n".into())
    );
    // The connection ends without a reply, as when the host is killed.
    let (code, text) = out_with_reply("");
    assert_eq!(code, Some(3), "{text}");
    assert!(text.starts_with("result unknown: "), "{text}");
}
