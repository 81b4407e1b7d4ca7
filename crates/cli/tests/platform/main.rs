//! `gullsail platform` as a process, over loopback, with scripted peers and resource limits.

mod kernel;
mod pipelining;
mod races;
mod rig;
mod second_responses;

use nix::sys::signal::Signal;
use rig::{Host, SOON, discovery, document, read_message, read_status, reply, send_request, serve};
use std::io::Write;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The trace id of the request whose response the node holds back until the test releases it.
const HELD_TRACE_ID: u64 = 0xff;

/// A node that answers at once, except for the request with [`HELD_TRACE_ID`]. Sending on the channel releases that
/// response.
fn node_with_held_response() -> (SocketAddr, Sender<()>) {
    let (release, released) = channel::<()>();
    let released = Arc::new(Mutex::new(released));
    let node = serve(move |text| {
        if text.contains(&format!("{HELD_TRACE_ID:016x}")) {
            released.lock().unwrap().recv_timeout(SOON).ok()?;
        }
        Some(reply("made by the node"))
    });
    (node, release)
}

/// Opens more silent connections than the host has descriptors: a normal client is still served.
fn check_flood_of_silent_clients(host: &Host) {
    let silent_clients: Vec<_> = (0..90).map(|_| host.client()).collect();
    std::thread::sleep(Duration::from_millis(400));
    let status = (0..50).find_map(|_| {
        let mut client = host.client();
        send_request(&mut client, 2);
        read_status(&mut client)
    });
    assert_eq!(status.as_deref(), Some("200"));
    drop(silent_clients);
}

/// Reloads a truncated document, which is rejected, and then a complete one with another discovery service. Returns the
/// polls of the new service.
fn check_reload(host: &Host, old_discovery: SocketAddr, node: SocketAddr) -> Receiver<String> {
    std::fs::write(&host.file, &document(old_discovery)[..100]).unwrap();
    host.signal(Signal::SIGHUP);
    host.line("reload rejected, keeping the previous configuration");
    let (new_discovery, polls) = discovery(node);
    std::fs::write(&host.file, document(new_discovery)).unwrap();
    host.signal(Signal::SIGHUP);
    polls
}

#[test]
fn it_serves_under_a_flood_reloads_and_answers_open_requests_at_shutdown() {
    let (node, release) = node_with_held_response();
    let (old_discovery, polls) = discovery(node);
    let mut host = Host::start(old_discovery);
    host.ready();
    let mut normal_client = host.client();
    send_request(&mut normal_client, 1);
    let response = read_message(&mut normal_client).unwrap();
    assert!(response.ends_with("made by the node"));
    check_flood_of_silent_clients(&host);
    let mut malformed_client = host.client();
    let noise = b"\x01\x02 noise\r\n\r\n";
    malformed_client.get_mut().write_all(noise).unwrap();
    assert_eq!(read_status(&mut malformed_client).as_deref(), Some("400"));
    let polls_after_reload = check_reload(&host, old_discovery, node);
    for polls in [polls_after_reload, polls] {
        let first = polls.recv_timeout(SOON).unwrap();
        assert_eq!(first, "GET /catalog/members HTTP/1.1");
    }
    // Open requests are answered before the exit.
    let mut open = host.client();
    send_request(&mut open, HELD_TRACE_ID);
    host.signal(Signal::SIGTERM);
    host.line("listener closed");
    assert!(host.child.try_wait().unwrap().is_none());
    release.send(()).unwrap();
    assert_eq!(read_status(&mut open).as_deref(), Some("200"));
    assert_eq!(host.child.wait().unwrap().code(), Some(0));
}

#[test]
fn an_invalid_document_exits_with_code_2_and_names_the_problem() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("config.json");
    let valid = document("127.0.0.1:1".parse().unwrap());
    let negative_limit = valid.replace(r#""parts":1.0"#, r#""parts":1.0,"limit":-1.0"#);
    let small_burst = valid.replace(
        r#""parts":1.0"#,
        r#""parts":1.0,"limit":9.0,"limit-burst":5.0"#,
    );
    let cases = [
        (None, "config.json"),
        (Some("{\"listen\":7}"), "line 1"),
        (Some("{}"), "listen"),
        (
            Some(negative_limit.as_str()),
            "settings.policies[0].limit: a figure of 0 or more",
        ),
        (
            Some(small_burst.as_str()),
            "settings.policies[0].limit-burst: room for one",
        ),
    ];
    for (text, expected) in cases {
        text.into_iter()
            .for_each(|text| std::fs::write(&file, text).unwrap());
        let ended = Command::new(env!("CARGO_BIN_EXE_gullsail"))
            .arg("platform")
            .env("PROXY_CONFIG", &file)
            .output()
            .unwrap();
        // Undoes the line breaks and frame of the report.
        let output = String::from_utf8(ended.stderr).unwrap().replace('│', " ");
        let output = output.split_whitespace().collect::<Vec<_>>().join(" ");
        assert_eq!(ended.status.code(), Some(2), "{output}");
        assert!(
            output.contains("config.json") && output.contains(expected),
            "{output}"
        );
    }
}
