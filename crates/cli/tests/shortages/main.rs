//! A host that lacks descriptors, memory or space for its log, or whose document and socket file others change: what
//! still works meanwhile, and that full service returns without a restart once the shortage ends. Shortages are
//! resource limits of a child process. Tests end only processes that they started, by their ids.

mod rig;

use bytes::Bytes;
use gullsail_protocol::{Frame, Message, Outcome, Submit};
use rig::{Host, LONG, NodeControl, Socket, deployment, gullsail, node, status, wire};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::process::{Command, Stdio};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Guards against a host that blocks when nobody reads its log: the pipe is full after some hundred lines. Requests are
/// answered as before. Once the log is read, lines are written again, and one reports how many were lost.
#[test]
fn a_log_that_is_not_read_does_not_block_requests() {
    let dir = tempfile::tempdir().unwrap();
    std::fs::write(
        dir.path().join("main.kdl"),
        deployment(&node(&NodeControl::answering()), ""),
    )
    .unwrap();
    let mut host = Host::start(dir.path(), "", "debug", Stdio::piped());
    let log = host.child.stderr.take().unwrap();
    // Each connection logs at least two lines: far more than the pipe and the queue hold.
    for _ in 0..9000 {
        drop(TcpStream::connect(&host.address).unwrap());
    }
    let mut client = Socket::client(&host.address);
    for id in 0..20 {
        assert!(
            client.served(id),
            "transfer {id} with nobody reading the log"
        );
    }
    assert_eq!(status(dir.path())["counts"]["done"], 20);
    let (sender, lines) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for line in BufReader::new(log).lines().map_while(Result::ok) {
            let _ = sender.send(line);
        }
    });
    let end = Instant::now() + LONG;
    let mut lost = None;
    while lost.is_none() && Instant::now() < end {
        lost = lines
            .recv_timeout(LONG)
            .ok()
            .filter(|l| l.contains("log_lines_lost"));
    }
    assert!(
        lost.is_some_and(|l| l.contains("log lines lost: the reader of standard error is too slow")),
        "a line reports the number of lost lines"
    );
    assert!(client.served(100));
    assert_eq!(host.stop(), Some(0));
}

/// A log on a full disk, and one in a file at its size limit: writes to the log fail, and requests are served.
#[test]
fn a_log_that_cannot_be_written_does_not_block_requests() {
    let full = || {
        Stdio::from(
            std::fs::OpenOptions::new()
                .write(true)
                .open("/dev/full")
                .unwrap(),
        )
    };
    for limited in [false, true] {
        let dir = tempfile::tempdir().unwrap();
        std::fs::write(
            dir.path().join("main.kdl"),
            deployment(&node(&NodeControl::answering()), ""),
        )
        .unwrap();
        let file = || Stdio::from(std::fs::File::create(dir.path().join("log")).unwrap());
        let (limit, stderr) = if limited {
            ("ulimit -f 8; ", file())
        } else {
            ("", full())
        };
        let host = Host::start(dir.path(), limit, "debug", stderr);
        for _ in 0..300 {
            drop(TcpStream::connect(&host.address).unwrap());
        }
        let mut client = Socket::client(&host.address);
        assert!((0..20).all(|id| client.served(id)), "limited {limited}");
        assert_eq!(status(dir.path())["counts"]["done"], 20);
        if limited {
            let length = dir.path().join("log").metadata().unwrap().len();
            assert!((1..=8192).contains(&length), "{length}");
        }
        assert_eq!(host.stop(), Some(0), "limited {limited}");
    }
}

/// Guards against clients that take all descriptors. Meanwhile the host reconnects to a node whose connection breaks,
/// answers the operator, serves accepted clients, and keeps its log small. When the clients leave, others are accepted
/// without a restart.
#[test]
fn descriptors_are_reserved_for_nodes_and_operators() {
    let dir = tempfile::tempdir().unwrap();
    let control = NodeControl::answering();
    std::fs::write(dir.path().join("main.kdl"), deployment(&node(&control), "")).unwrap();
    let log = dir.path().join("log");
    let host = Host::start(
        dir.path(),
        "ulimit -n 64; ",
        "info",
        Stdio::from(std::fs::File::create(&log).unwrap()),
    );
    let mut first = Socket::client(&host.address);
    assert!(first.served(1));
    let mut crowd: Vec<Socket> = (0..150).map(|_| Socket::client(&host.address)).collect();
    control.disconnects.store(true, Ordering::SeqCst);
    let end = Instant::now() + LONG;
    let state = loop {
        let state = status(dir.path());
        if state["counts"]["nodes_met_again"] == 2 {
            break state;
        }
        assert!(
            Instant::now() < end,
            "the host reconnects to the node: {state}"
        );
    };
    assert!(first.served(2), "over a new connection to the node");
    assert!(
        state["counts"]["links_refused"].as_u64().unwrap() > 50,
        "{state}"
    );
    // Some of the clients were accepted; the host closed the other connections at once.
    crowd.iter().for_each(|socket| {
        socket
            .stream
            .set_read_timeout(Some(Duration::from_millis(100)))
            .unwrap()
    });
    let accepted = crowd.iter_mut().filter_map(|socket| socket.next()).count();
    assert!(
        (5..60).contains(&accepted),
        "{accepted} of 150 were accepted"
    );
    let lines = std::fs::read_to_string(&log).unwrap();
    assert!(!lines.contains("cannot accept"), "{lines}");
    drop(crowd);
    let end = Instant::now() + LONG;
    while !Socket::client(&host.address).served(1) {
        assert!(Instant::now() < end, "clients are accepted again");
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(first.served(3));
    assert_eq!(host.stop(), Some(0));
}

/// Guards against memory that grows without bound while a node does not answer: writers offer far more than the host
/// may hold. They wait, the held bytes stay within their bound, each accepted request gets its answer, and once the
/// node answers requests are served again.
#[test]
fn memory_is_bounded_while_a_node_does_not_answer() {
    const MIB: usize = 1 << 20;
    let dir = tempfile::tempdir().unwrap();
    let control = NodeControl::default();
    let bounds = "bounds held-bytes=\"16MiB\" body-bytes=\"1MiB\" open=200\n";
    std::fs::write(
        dir.path().join("main.kdl"),
        deployment(&node(&control), bounds),
    )
    .unwrap();
    // The limit of the address space, in KiB: enough for the program and the stacks of its threads, less than the 1000
    // MiB that the writers offer.
    let host = Host::start(dir.path(), "ulimit -v 500000; ", "info", Stdio::null());
    let writers: Vec<_> = (0..40)
        .map(|_| {
            let address = host.address.clone();
            std::thread::spawn(move || {
                let mut socket = Socket::client(&address);
                socket
                    .stream
                    .set_write_timeout(Some(Duration::from_secs(1)))
                    .unwrap();
                let mut sent = 0;
                while sent < 25 && socket.submit(sent, "trip", MIB).is_ok() {
                    sent += 1;
                }
                let _ = socket
                    .stream
                    .set_read_timeout(Some(Duration::from_millis(500)));
                socket
            })
        })
        .collect();
    let writers: Vec<Socket> = writers.into_iter().map(|w| w.join().unwrap()).collect();
    let state = status(dir.path());
    let most = state["counts"]["most_held"].as_u64().unwrap();
    assert!(
        most > 8 * MIB as u64 && most < 64 * MIB as u64,
        "{most} bytes held at most"
    );
    assert!(state["counts"]["held_back"].as_u64().unwrap() > 0);
    drop(writers);
    control.answers.store(true, Ordering::SeqCst);
    let end = Instant::now() + LONG;
    let mut client = Socket::client(&host.address);
    while !client.served(1) {
        assert!(
            Instant::now() < end,
            "requests are served again once the node answers"
        );
        std::thread::sleep(Duration::from_millis(20));
        client = Socket::client(&host.address);
    }
    let state = loop {
        let state = status(dir.path());
        if state["open"] == 0 && state["held_bytes"] == 0 {
            break state;
        }
        assert!(Instant::now() < end, "all held memory is released: {state}");
        std::thread::sleep(Duration::from_millis(100));
    };
    let count = |name: &str| state["counts"][name].as_u64().unwrap();
    assert_eq!(
        count("taken"),
        count("done") + count("deferred") + count("abandoned") + count("clients_left")
    );
    assert_eq!(host.stop(), Some(0));
}

/// Guards against a truncated document: `fmt` fails when it reaches a file size limit, and the document is unchanged.
#[test]
fn fmt_writes_the_complete_document_or_leaves_it_unchanged() {
    let dir = tempfile::tempdir().unwrap();
    let untidy =
        deployment("n", "").replace('\n', "\n\n\n") + &"// a comment that is kept\n".repeat(100);
    let file = dir.path().join("main.kdl");
    std::fs::write(&file, &untidy).unwrap();
    let program = env!("CARGO_BIN_EXE_gullsail");
    let out = Command::new("sh")
        .current_dir(dir.path())
        .args(["-c", &format!("ulimit -f 1; exec {program} fmt main.kdl")])
        .output()
        .unwrap();
    assert!(!out.status.success());
    assert_eq!(
        std::fs::read_to_string(&file).unwrap(),
        untidy,
        "nothing is lost"
    );
    // Without the limit, `fmt` through a symbolic link keeps the link and the file's permissions.
    let link = dir.path().join("link.kdl");
    std::os::unix::fs::symlink("main.kdl", &link).unwrap();
    use std::os::unix::fs::PermissionsExt;
    std::fs::set_permissions(&file, std::fs::Permissions::from_mode(0o640)).unwrap();
    assert!(gullsail(dir.path(), &["fmt", "link.kdl"]).status.success());
    assert!(link.is_symlink() && std::fs::read_to_string(&file).unwrap() != untidy);
    assert_eq!(file.metadata().unwrap().permissions().mode() & 0o777, 0o640);
    let files = std::fs::read_dir(dir.path()).unwrap().count();
    assert_eq!(files, 2, "nothing stays beside it");
}

/// A document that includes a pipe is rejected; two concurrent reloads are answered one after the other; a reload
/// during the shutdown is refused; and a host that exits leaves a socket file in place that another process has
/// replaced.
#[test]
fn a_piped_document_concurrent_reloads_and_a_replaced_socket_file_are_handled() {
    let dir = tempfile::tempdir().unwrap();
    let main = dir.path().join("main.kdl");
    let valid = deployment(&node(&NodeControl::default()), "")
        .replace("\"2s\"", "\"15s\"")
        .replace("\"4s\"", "\"20s\"");
    std::fs::write(&main, &valid).unwrap();
    let host = Host::start(dir.path(), "", "info", Stdio::null());
    nix::unistd::mkfifo(&dir.path().join("pipe.kdl"), nix::sys::stat::Mode::S_IRWXU).unwrap();
    std::fs::write(&main, format!("include \"pipe.kdl\"\n{valid}")).unwrap();
    let out = gullsail(dir.path(), &["reload", "h1.sock"]);
    let output = String::from_utf8_lossy(&out.stdout).into_owned();
    assert_eq!(
        (out.status.code(), output.contains("not a regular file")),
        (Some(2), true),
        "{output}"
    );
    assert!(output.starts_with("main.kdl:1:"), "{output}");
    std::fs::write(&main, &valid).unwrap();
    let both: Vec<_> = (0..2)
        .map(|_| {
            let mut client = Command::new(env!("CARGO_BIN_EXE_gullsail"));
            client
                .current_dir(dir.path())
                .args(["reload", "h1.sock"])
                .stdout(Stdio::piped())
                .spawn()
                .unwrap()
        })
        .collect();
    for child in both {
        assert_eq!(child.wait_with_output().unwrap().status.code(), Some(0));
    }
    // An open request keeps the host from exiting at once.
    let mut client = Socket::client(&host.address);
    client.submit(1, "trip", 10).unwrap();
    while status(dir.path())["open"] != 1 {}
    let id = nix::unistd::Pid::from_raw(host.child.id() as i32);
    nix::sys::signal::kill(id, nix::sys::signal::Signal::SIGTERM).unwrap();
    client
        .stream
        .set_read_timeout(Some(Duration::from_millis(50)))
        .unwrap();
    let end = Instant::now() + LONG;
    for id in 2.. {
        client.submit(id, "trip", 0).unwrap();
        if let Some(Message::NotTaken(n)) = client.next().map(|f| f.message) {
            assert!(n.leaving);
            break;
        }
        assert!(
            Instant::now() < end,
            "the host refuses requests because it stops"
        );
    }
    let out = gullsail(dir.path(), &["reload", "h1.sock"]);
    let output =
        String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr);
    assert!(
        out.status.code() != Some(0) && output.contains("this host is leaving"),
        "{output}"
    );
    // Another process replaces the socket file; then the client leaves, so the host exits.
    std::fs::remove_file(dir.path().join("h1.sock")).unwrap();
    std::fs::write(dir.path().join("h1.sock"), "mine").unwrap();
    drop(client);
    assert_eq!(host.stop(), Some(0));
    assert_eq!(
        std::fs::read_to_string(dir.path().join("h1.sock")).unwrap(),
        "mine"
    );
}

/// Replies on the control socket from an older host, which lack fields, and from a newer one, which have unknown
/// fields.
#[test]
fn control_replies_with_missing_or_unknown_fields_are_parsed() {
    use gullsail_host::control::ControlReply;
    for (line, open, rejected) in [
        ("{\"told\":\"status\",\"host\":\"h1\",\"revision\":3}", 0, 0),
        (
            "{\"told\":\"status\",\"host\":\"h1\",\"open\":4,\"new\":[1],\"counts\":{\"deferred\":2,\"new\":1}}",
            4,
            2,
        ),
    ] {
        let Ok(ControlReply::Status(state)) = serde_json::from_str(line) else {
            panic!("{line}")
        };
        assert_eq!(
            (state.host.as_str(), state.open, state.counts.rejected),
            ("h1", open, rejected)
        );
    }
}

/// Guards against memory that partial frames hold: many clients each send most of a large frame and stop. One frame at
/// a time reserves its memory, and the others wait unread. Small requests are served meanwhile. The host disconnects
/// the stalled clients, and then accepts a complete large frame.
#[test]
fn memory_held_by_partial_frames_is_bounded() {
    let dir = tempfile::tempdir().unwrap();
    let bounds = "bounds held-bytes=\"32MiB\" body-bytes=\"16MiB\" client-stall=\"250ms\"\n";
    std::fs::write(
        dir.path().join("main.kdl"),
        deployment(&node(&NodeControl::answering()), bounds),
    )
    .unwrap();
    let host = Host::start(dir.path(), "ulimit -v 500000; ", "info", Stdio::null());
    let submit = Submit {
        id: 1,
        request_class: "trip".into(),
        volume: "v".into(),
        units: 1.0,
        ..Submit::default()
    };
    let large_frame = wire(Frame::from(submit).with_body(Bytes::from(vec![1; 16 << 20])));
    let stalled: Vec<Socket> = (0..32)
        .map(|_| {
            let mut client = Socket::client(&host.address);
            client
                .stream
                .set_write_timeout(Some(Duration::from_millis(20)))
                .unwrap();
            // The host leaves it unread, or disconnects the client.
            let _ = client.stream.write_all(&large_frame[..15 << 20]);
            client
        })
        .collect();
    assert!(Socket::client(&host.address).served(1));
    assert_eq!(status(dir.path())["open"], 0);
    let end = Instant::now() + LONG * 3;
    loop {
        let mut client = Socket::client(&host.address);
        client.stream.set_write_timeout(Some(LONG)).unwrap();
        if client.submit(7, "trip", 16 << 20).is_ok()
            && client.outcome() == Some(Outcome::Succeeded as i32)
        {
            break;
        }
        assert!(
            Instant::now() < end,
            "a complete large frame is accepted once memory is released"
        );
    }
    drop(stalled);
    assert_eq!(host.stop(), Some(0));
}
