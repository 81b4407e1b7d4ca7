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
fn it_serves_through_crowds_reloads_and_leaves_with_everything_answered() {
    let (go, gate) = channel::<()>();
    let gate = std::sync::Arc::new(std::sync::Mutex::new(gate));
    let node = serve(move |text| {
        // One of them is answered only when the test says so.
        if text.contains("00000000000000ff") {
            gate.lock().unwrap().recv_timeout(SOON).ok()?;
        }
        Some(reply("made by the node"))
    });
    let (old, asked) = discovery(node);
    let mut h = Host::start(old);
    h.ready();
    let mut usual = h.client();
    asks(&mut usual, 1);
    assert!(message(&mut usual).unwrap().ends_with("made by the node"));
    // More connections than it has descriptors, all of them silent.
    let crowd: Vec<_> = (0..90).map(|_| h.client()).collect();
    std::thread::sleep(Duration::from_millis(400));
    let newcomer = (0..50).find_map(|_| {
        let mut c = h.client();
        asks(&mut c, 2);
        status(&mut c)
    });
    assert_eq!(newcomer.as_deref(), Some("200"));
    drop(crowd);
    // Noise is answered with an error.
    let mut rude = h.client();
    rude.get_mut().write_all(b"\x01\x02 noise\r\n\r\n").unwrap();
    assert_eq!(status(&mut rude).as_deref(), Some("400"));
    // A half-written document keeps what is; a whole one moves discovery.
    std::fs::write(&h.file, &document(old)[..100]).unwrap();
    h.signal(Signal::SIGHUP);
    h.line("the old one stays");
    let (new, asked_anew) = discovery(node);
    std::fs::write(&h.file, document(new)).unwrap();
    h.signal(Signal::SIGHUP);
    assert_eq!(asked_anew.recv_timeout(SOON).unwrap(), "GET /catalog/members HTTP/1.1");
    assert_eq!(asked.recv_timeout(SOON).unwrap(), "GET /catalog/members HTTP/1.1");
    // It leaves: what is open is answered first.
    let mut open = h.client();
    asks(&mut open, 0xff);
    h.signal(Signal::SIGTERM);
    h.line("accepts no more");
    assert!(h.child.try_wait().unwrap().is_none());
    go.send(()).unwrap();
    assert_eq!(status(&mut open).as_deref(), Some("200"));
    assert_eq!(h.child.wait().unwrap().code(), Some(0));
}

#[test]
fn without_a_sound_document_it_ends_with_code_2_and_says_why() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("config.json");
    let sound = document("127.0.0.1:1".parse().unwrap());
    let below = sound.replace(r#""parts":1.0"#, r#""parts":1.0,"limit":-1.0"#);
    let small = sound.replace(r#""parts":1.0"#, r#""parts":1.0,"limit":9.0,"limit-burst":5.0"#);
    let cases = [
        (None, "config.json"),
        (Some("{\"listen\":7}"), "line 1"),
        (Some("{}"), "listen"),
        (Some(below.as_str()), "settings.policies[0].limit: a figure of 0 or more"),
        (Some(small.as_str()), "settings.policies[0].limit-burst: room for one"),
    ];
    for (text, says) in cases {
        text.into_iter().for_each(|t| std::fs::write(&file, t).unwrap());
        let ended = Command::new(env!("CARGO_BIN_EXE_gullsail"))
            .arg("platform")
            .env("PROXY_CONFIG", &file)
            .output()
            .unwrap();
        // As it was said, whatever the lines are broken into.
        let said = String::from_utf8(ended.stderr).unwrap().replace('│', " ");
        let said = said.split_whitespace().collect::<Vec<_>>().join(" ");
        assert_eq!(ended.status.code(), Some(2), "{said}");
        assert!(said.contains("config.json") && said.contains(says), "{said}");
    }
}
