//! A host that operators take offline answers its clients until their connections end.
//!
//! The test guards against requests that get no answer (scenario `out-takeover`, rule 1): a host logs `shutdown
//! complete` and reads nothing more, but keeps its listener and its connections open for up to a second.

use crate::client::Client;
use crate::rig::{gullsail, host, maintenance_document, until};
use gullsail_protocol::{Message, NotTaken, Submit};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

/// Longer than any expected wait.
const LONG: Duration = Duration::from_secs(60);

/// The next refusal; `None`: the connection ended, or nothing came in time.
fn refusal(client: &mut Client) -> Option<NotTaken> {
    loop {
        if let Message::NotTaken(refused) = client.next()?.message {
            return Some(refused);
        }
    }
}

fn wait_for_log(dir: &Path, file: &str, line: &str) {
    let end = Instant::now() + LONG;
    while !std::fs::read_to_string(dir.join(file))
        .unwrap_or_default()
        .contains(line)
    {
        assert!(Instant::now() < end, "{file} never says: {line}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

fn address_of(document: &str, host: &str) -> SocketAddr {
    let line = document
        .lines()
        .find(|line| line.contains(&format!("host \"{host}\"")))
        .unwrap();
    line.split('"').nth(3).unwrap().parse().unwrap()
}

#[test]
fn a_host_taken_offline_refuses_requests_after_its_shutdown_is_complete() {
    let dir = tempfile::tempdir().unwrap();
    let dir = dir.path();
    let document = maintenance_document();
    std::fs::write(dir.join("works.kdl"), &document).unwrap();
    let start = |name: &str| host(dir, "works.kdl", name, &format!("{name}.sock"));
    let (_h1, _h2, mut h3) = (start("h1"), start("h2"), start("h3"));
    for name in ["h1.sock", "h2.sock", "h3.sock"] {
        until(dir, name, "it has a lease", |status| {
            status["status"]["lease_ms"].is_number()
        });
    }
    let mut client = Client::connect(address_of(&document, "h3"), LONG).unwrap();
    // A request of an unknown class is refused at once, which shows that the host reads this connection.
    client
        .send(Submit {
            id: 1,
            request_class: "nothing".into(),
            ..Submit::default()
        })
        .unwrap();
    assert!(!refusal(&mut client).unwrap().leaving);
    let out = ["fleet", "out", "h1.sock", "h3", "--wait"];
    let operator = std::thread::scope(|scope| {
        let operator = scope.spawn(|| gullsail(dir, &out));
        wait_for_log(dir, "h3.sock.log", "shutdown complete");
        for id in 2..=20 {
            client.submit(id, Duration::from_millis(1500)).unwrap();
            let refused = refusal(&mut client).expect("it is answered");
            assert_eq!((refused.id, refused.leaving), (id, true));
        }
        // The listener is closed, so no new connection can carry a request that is never read.
        assert!(TcpStream::connect(address_of(&document, "h3")).is_err());
        drop(client);
        operator.join().unwrap()
    });
    assert_eq!(operator.0, Some(0), "{}", operator.1);
    assert!(h3.0.wait().unwrap().success());
}
