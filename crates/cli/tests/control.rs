//! The control socket of a running host, used through the program's commands.

use std::io::{BufRead, BufReader, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::process::{Child, Command, Output, Stdio};

const DOCUMENT: &str = "rules tick=\"20ms\"\nstream-type \"r\" effect=\"repeatable\" slo=\"1s\" expiry=\"2s\"\n\
    plan \"p\" limit=\"100units/s\" burst=64 usual=\"60units/s\"\n\
    host \"h1\" address=\"127.0.0.1:0\"\nhost \"h2\" address=\"127.0.0.1:0\"\nvolume \"v\" plan=\"p\"\n";

fn gullsail(dir: &Path, arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_gullsail"));
    command
        .current_dir(dir)
        .args(["--log-level", "error"])
        .args(arguments)
        .output()
        .unwrap()
}

/// A host that serves; ended by its own id when it is dropped.
struct Host(Child);

impl Host {
    fn start(dir: &Path) -> Host {
        let arguments = ["host", "main.kdl", "--name", "h1", "--control", "h1.sock"];
        Host::with(dir, &arguments)
    }

    fn with(dir: &Path, arguments: &[&str]) -> Host {
        let mut child = Command::new(env!("CARGO_BIN_EXE_gullsail"))
            .current_dir(dir)
            .args(["--log-level", "error"])
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        // The host prints its address once it listens.
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap())
            .read_line(&mut line)
            .unwrap();
        assert!(line.contains("address"), "{line}");
        Host(child)
    }

    fn stop(mut self) -> Option<i32> {
        let id = nix::unistd::Pid::from_raw(self.0.id() as i32);
        nix::sys::signal::kill(id, nix::sys::signal::Signal::SIGTERM).unwrap();
        self.0.wait().unwrap().code()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        // It may have ended.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn output(o: &Output) -> String {
    String::from_utf8_lossy(&o.stdout).into_owned() + &String::from_utf8_lossy(&o.stderr)
}

fn status(dir: &Path) -> serde_json::Value {
    let out = gullsail(dir, &["status", "h1.sock"]);
    serde_json::from_slice(&out.stdout).unwrap_or_else(|e| panic!("{e}: {}", output(&out)))
}

#[test]
fn a_reload_over_the_control_socket_applies_or_rejects_the_document() {
    let dir = tempfile::tempdir().unwrap();
    let dir = dir.path();
    let write = |name: &str, text: &str| std::fs::write(dir.join(name), text).unwrap();
    write("main.kdl", DOCUMENT);
    write("first.kdl", DOCUMENT);
    let host = Host::start(dir);
    assert_eq!(
        dir.join("h1.sock").metadata().unwrap().permissions().mode() & 0o777,
        0o600
    );
    let lower = DOCUMENT.replace("limit=\"100", "limit=\"80") + "revision 1 after=\"first.kdl\"\n";
    let tiny = DOCUMENT.replace("limit=\"100", "limit=\"50") + "revision 2 after=\"second.kdl\"\n";
    // The document, arguments, exit code, a part of the output, the host's revision afterwards.
    let cases: [(String, &[&str], i32, &str, u64); 7] = [
        (
            DOCUMENT.into(),
            &[],
            0,
            "reloaded: revision 0, 0 change(s)",
            0,
        ),
        (
            DOCUMENT.replace("100units/s", "100"),
            &[],
            2,
            "main.kdl:3:10: wrong-kind: \"100\" is not a rate",
            0,
        ),
        (
            DOCUMENT.replace("20ms", "9ms"),
            &["--insist"],
            1,
            "refused: rules tick",
            0,
        ),
        (
            lower.clone(),
            &[],
            0,
            "reloaded: revision 1, 1 change(s)",
            1,
        ),
        (tiny.clone(), &[], 1, "dangerous, and not insisted on", 1),
        (
            tiny.clone(),
            &["--json"],
            1,
            "{\"told\":\"turned-down\",\"why\":[\"plan",
            1,
        ),
        (tiny, &["--insist"], 0, "reloaded: revision 2", 2),
    ];
    write("second.kdl", &lower);
    for (text, arguments, code, says, revision) in cases {
        write("main.kdl", &text);
        let out = gullsail(dir, &[&["reload", "h1.sock"], arguments].concat());
        assert_eq!(
            (out.status.code(), output(&out).contains(says)),
            (Some(code), true),
            "{says}\n{}",
            output(&out)
        );
        let state = status(dir);
        assert_eq!(
            (state["host"].as_str(), state["revision"].as_u64()),
            (Some("h1"), Some(revision))
        );
        let behind = if revision > 0 {
            serde_json::json!(["h2"])
        } else {
            serde_json::json!([])
        };
        assert_eq!(state["behind"], behind);
    }
    let state = status(dir);
    assert_eq!(
        (
            state["counts"]["documents_taken"].as_u64(),
            state["counts"]["documents_turned_down"].as_u64()
        ),
        (Some(3), Some(3))
    );
    assert_eq!(host.stop(), Some(0));
    assert!(
        !dir.join("h1.sock").exists(),
        "the host removes its socket file"
    );
}

#[test]
fn stale_sockets_malformed_requests_and_closed_clients_are_tolerated() {
    let dir = tempfile::tempdir().unwrap();
    let dir = dir.path();
    std::fs::write(dir.join("main.kdl"), DOCUMENT).unwrap();
    let gone = gullsail(dir, &["status", "h1.sock"]);
    assert_eq!(
        (
            gone.status.code(),
            output(&gone).contains("no host answers at h1.sock")
        ),
        (Some(2), true)
    );
    // A socket file that a killed host has left behind is replaced.
    let killed = Host::start(dir);
    drop(killed);
    assert!(dir.join("h1.sock").exists());
    let host = Host::start(dir);
    // Another host is refused, and the first one still answers.
    let other = gullsail(
        dir,
        &["host", "main.kdl", "--name", "h2", "--control", "h1.sock"],
    );
    assert_eq!(
        (
            other.status.code(),
            output(&other).contains("another process answers")
        ),
        (Some(2), true),
        "{}",
        output(&other)
    );
    for asked in ["nonsense\n", "{\"ask\":\"shutdown\"}\n", "{}\n"] {
        let mut stream = UnixStream::connect(dir.join("h1.sock")).unwrap();
        stream.write_all(asked.as_bytes()).unwrap();
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).unwrap();
        assert!(
            line.contains("\"told\":\"error\"") && line.contains("not understood"),
            "{asked}: {line}"
        );
    }
    // A request that is too long, and a client that closes before its reply.
    let mut long = UnixStream::connect(dir.join("h1.sock")).unwrap();
    // The host may close the connection during the write.
    let _ = long.write_all(&[b'x'; 100_000]);
    drop(long);
    UnixStream::connect(dir.join("h1.sock"))
        .unwrap()
        .write_all(b"{\"ask\":\"status\"}\n")
        .unwrap();
    assert_eq!(status(dir)["revision"].as_u64(), Some(0));
    assert_eq!(host.stop(), Some(0));
}

/// Guards against a control socket that is blocked by a disk that does not return a document: each reload gets an
/// error, status requests are answered, and once the disk responds a reload succeeds.
#[test]
fn a_blocked_read_of_a_document_does_not_block_the_control_socket() {
    use gullsail_host::control::{Control, ControlReply, ControlRequest, send_request};
    use gullsail_host::runtime::{self, HostClock, HostProcess};
    use std::sync::{Arc, Mutex, mpsc};
    use std::time::Duration;
    let dir = tempfile::tempdir().unwrap();
    let socket = dir.path().join("h1.sock");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let (release_reads, disk) = mpsc::channel::<()>();
    let disk = Mutex::new(disk);
    let load = move || {
        let _ = disk.lock().unwrap().recv();
        Ok(gullsail_configuration::parse("main.kdl", DOCUMENT).unwrap())
    };
    runtime.block_on(async {
        let control = Control::bind(&socket, Arc::new(load))
            .unwrap()
            .with_read_timeout(Duration::from_millis(100));
        let d = Arc::new(gullsail_configuration::parse("main.kdl", DOCUMENT).unwrap());
        let clock = HostClock::start(gullsail_scheduler_api::Span::ZERO);
        let host = gullsail_scheduler_api::HostId(0);
        let process = HostProcess {
            deployment: d,
            host,
            seed: 1,
            incarnation: 1,
            clock,
        };
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
        let host = tokio::spawn(runtime::run(process, listener, Some(control), async {
            let _ = stopped.await;
        }));
        let long = Duration::from_secs(30);
        let reload = || send_request(&socket, ControlRequest::Reload { insist: false }, long);
        for expected in [
            "was not read within",
            "still being read",
            "still being read",
        ] {
            match reload().await.unwrap() {
                ControlReply::Error { why } => assert!(why.contains(expected), "{why}"),
                reply => panic!("{reply:?}"),
            }
            assert!(matches!(
                send_request(&socket, ControlRequest::Status, long)
                    .await
                    .unwrap(),
                ControlReply::Status(_)
            ));
        }
        // The disk responds again: to the read that still waits, and to later ones.
        (0..50).for_each(|_| release_reads.send(()).unwrap());
        while !matches!(reload().await.unwrap(), ControlReply::Taken { .. }) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        stop.send(()).unwrap();
        assert_eq!(host.await.unwrap().documents_taken, 1);
    });
}

/// Guards against SIGHUP, by which many programs reload, killing a host, a simulated node or the endpoint list at once,
/// together with its open requests.
#[test]
fn sighup_ends_no_process() {
    use nix::sys::signal::{Signal, kill};
    let dir = tempfile::tempdir().unwrap();
    let dir = dir.path();
    let document = DOCUMENT.to_string()
        + "machine \"m\" cores=1 unit=\"5ms\"\nnode \"n1\" cell=1 address=\"127.0.0.1:0\" machine=\"m\"\n\
           list address=\"127.0.0.1:0\"\n";
    std::fs::write(dir.join("main.kdl"), document).unwrap();
    let processes: [&[&str]; 3] = [
        &["host", "main.kdl", "--name", "h1"],
        &["node", "main.kdl", "--name", "n1"],
        &["list", "main.kdl"],
    ];
    for arguments in processes {
        let mut host = Host::with(dir, arguments);
        let id = nix::unistd::Pid::from_raw(host.0.id() as i32);
        kill(id, Signal::SIGHUP).unwrap();
        kill(id, Signal::SIGTERM).unwrap();
        assert_eq!(host.0.wait().unwrap().code(), Some(0), "{arguments:?}");
    }
}
