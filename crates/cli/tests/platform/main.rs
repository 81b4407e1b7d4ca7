//! The real program on the platform's protocol: loopback, scripted peers, limits of its own.

mod races;
mod rig;

use nix::sys::signal::Signal;
use rig::*;
use std::io::Write;
use std::process::Command;
use std::sync::mpsc::channel;
use std::time::Duration;

#[test]
fn it_serves_under_load_reloads_and_shuts_down_with_everything_answered() {
    let (release, released) = channel::<()>();
    let released = std::sync::Arc::new(std::sync::Mutex::new(released));
    let node = serve(move |text| {
        // One of them is answered only when the test says so.
        if text.contains("00000000000000ff") {
            released.lock().unwrap().recv_timeout(SOON).ok()?;
        }
        Some(reply("made by the node"))
    });
    let (old_discovery, polls) = discovery(node);
    let mut host = Host::start(old_discovery);
    host.ready();
    let mut usual_client = host.client();
    send_request(&mut usual_client, 1);
    assert!(
        read_message(&mut usual_client)
            .unwrap()
            .ends_with("made by the node")
    );
    // More connections than it has descriptors, all of them silent.
    let silent_clients: Vec<_> = (0..90).map(|_| host.client()).collect();
    std::thread::sleep(Duration::from_millis(400));
    let new_client_status = (0..50).find_map(|_| {
        let mut client = host.client();
        send_request(&mut client, 2);
        read_status(&mut client)
    });
    assert_eq!(new_client_status.as_deref(), Some("200"));
    drop(silent_clients);
    // Noise is answered with an error.
    let mut noisy_client = host.client();
    noisy_client
        .get_mut()
        .write_all(b"\x01\x02 noise\r\n\r\n")
        .unwrap();
    assert_eq!(read_status(&mut noisy_client).as_deref(), Some("400"));
    // A half-written document keeps what is; a whole one moves discovery.
    std::fs::write(&host.file, &document(old_discovery)[..100]).unwrap();
    host.signal(Signal::SIGHUP);
    host.line("reload rejected, keeping the previous configuration");
    let (new_discovery, polls_after_reload) = discovery(node);
    std::fs::write(&host.file, document(new_discovery)).unwrap();
    host.signal(Signal::SIGHUP);
    assert_eq!(
        polls_after_reload.recv_timeout(SOON).unwrap(),
        "GET /catalog/members HTTP/1.1"
    );
    assert_eq!(
        polls.recv_timeout(SOON).unwrap(),
        "GET /catalog/members HTTP/1.1"
    );
    // It leaves: what is open is answered first.
    let mut open = host.client();
    send_request(&mut open, 0xff);
    host.signal(Signal::SIGTERM);
    host.line("listener closed");
    assert!(host.child.try_wait().unwrap().is_none());
    release.send(()).unwrap();
    assert_eq!(read_status(&mut open).as_deref(), Some("200"));
    assert_eq!(host.child.wait().unwrap().code(), Some(0));
}

#[test]
fn an_invalid_document_exits_with_code_2_and_says_why() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("config.json");
    let sound = document("127.0.0.1:1".parse().unwrap());
    let below = sound.replace(r#""parts":1.0"#, r#""parts":1.0,"limit":-1.0"#);
    let small = sound.replace(
        r#""parts":1.0"#,
        r#""parts":1.0,"limit":9.0,"limit-burst":5.0"#,
    );
    let cases = [
        (None, "config.json"),
        (Some("{\"listen\":7}"), "line 1"),
        (Some("{}"), "listen"),
        (
            Some(below.as_str()),
            "settings.policies[0].limit: a figure of 0 or more",
        ),
        (
            Some(small.as_str()),
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
        // However the lines are broken.
        let output = String::from_utf8(ended.stderr).unwrap().replace('│', " ");
        let output = output.split_whitespace().collect::<Vec<_>>().join(" ");
        assert_eq!(ended.status.code(), Some(2), "{output}");
        assert!(
            output.contains("config.json") && output.contains(expected),
            "{output}"
        );
    }
}
