//! The control socket while the host's loop is busy, holds an answer back or has ended. The test is the loop: nothing
//! happens before it lets it.

use gullsail_host::control::{Control, ControlReply, ControlRequest, LoopRequest, State, ask};
use gullsail_host::core::maintenance::{CommandError, CommandOutcome, OperatorCommand};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Barrier};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::UnixStream;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

/// Past any wait that these tests mean.
const LONG: Duration = Duration::from_secs(60);

/// A control socket, and the loop's side of it.
struct Socket {
    path: PathBuf,
    requests: mpsc::Receiver<LoopRequest>,
    serving: JoinHandle<()>,
    _directory: tempfile::TempDir,
}

impl Socket {
    fn bind(load: impl Fn() + Send + Sync + 'static) -> Socket {
        let directory = tempfile::tempdir().unwrap();
        let path = directory.path().join("host.sock");
        let load = move || {
            load();
            Err(Vec::new())
        };
        let control = Control::bind(&path, Arc::new(load)).unwrap();
        let (to_loop, requests) = mpsc::channel(8);
        Socket {
            path,
            requests,
            serving: tokio::spawn(control.serve(to_loop)),
            _directory: directory,
        }
    }

    fn ask(&self, request: ControlRequest) -> JoinHandle<io::Result<ControlReply>> {
        let path = self.path.clone();
        tokio::spawn(async move { ask(&path, request, LONG).await })
    }

    /// The next request is an operator's command, which is held.
    async fn held_command(&mut self) -> oneshot::Sender<CommandOutcome> {
        match self.requests.recv().await {
            Some(LoopRequest::OperatorCommand(_, reply)) => reply,
            _ => panic!("no command"),
        }
    }

    /// The loop ends; the socket is served until everybody has a reply.
    async fn end(self) {
        drop(self.requests);
        self.serving.await.unwrap();
    }
}

fn command() -> ControlRequest {
    ControlRequest::OperatorCommand(OperatorCommand {
        kind: "out".into(),
        names: vec!["n1".into()],
        ..OperatorCommand::default()
    })
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let limited = async { tokio::time::timeout(LONG, test).await };
    runtime.block_on(limited).expect("the test does not end");
}

fn is_leaving(reply: io::Result<ControlReply>) -> bool {
    matches!(reply.unwrap(), ControlReply::Error { why } if why == "this host is leaving")
}

/// Guards against an operator who waits for a command and keeps everybody else from the socket.
#[test]
fn a_status_is_answered_while_a_command_waits() {
    run(async {
        let mut socket = Socket::bind(|| ());
        let waiting = socket.ask(command());
        let held = socket.held_command().await;
        let status = socket.ask(ControlRequest::Status);
        let Some(LoopRequest::State(reply)) = socket.requests.recv().await else {
            panic!("no status");
        };
        reply.send(State::default()).unwrap();
        let status = status.await.unwrap().unwrap();
        assert!(matches!(status, ControlReply::Status(_)));
        held.send(Ok(())).unwrap();
        let accepted = waiting.await.unwrap().unwrap();
        assert!(matches!(accepted, ControlReply::CommandTaken));
    });
}

/// Guards against an answer that is given and never written, because the host ends at the same moment.
#[test]
fn an_answer_given_before_the_end_is_written_whole() {
    run(async {
        let mut socket = Socket::bind(|| ());
        let waiting = socket.ask(command());
        let held = socket.held_command().await;
        held.send(Err(CommandError::ResultUnknown)).unwrap();
        socket.end().await;
        let reply = waiting.await.unwrap().unwrap();
        assert!(matches!(reply, ControlReply::CommandResultUnknown { .. }));
    });
}

/// Guards against an end of file for an operator whose command nobody answers any more.
#[test]
fn a_command_without_an_answer_is_told_that_the_host_leaves() {
    run(async {
        let mut socket = Socket::bind(|| ());
        let waiting = socket.ask(command());
        drop(socket.held_command().await);
        socket.end().await;
        assert!(is_leaving(waiting.await.unwrap()));
    });
}

/// Guards against an end of file for an operator who had connected, and was not served, when the host ended.
#[test]
fn a_requester_in_the_backlog_is_told_that_the_host_leaves() {
    run(async {
        let socket = Socket::bind(|| ());
        // The task that serves has not run yet: connections stay in the backlog until the loop has ended.
        let mut waiting = connect(&socket.path);
        waiting.write_all(&line(&command())).await.unwrap();
        socket.end().await;
        let mut text = String::new();
        waiting.read_to_string(&mut text).await.unwrap();
        assert!(text.contains("this host is leaving"), "{text}");
    });
}

/// Guards against a silent requester that keeps a host from ending.
#[test]
fn a_requester_that_sends_nothing_does_not_hold_up_the_end() {
    run(async {
        let socket = Socket::bind(|| ());
        let _silent = connect(&socket.path);
        let path = socket.path.clone();
        socket.end().await;
        assert!(!path.exists(), "the socket's file is removed");
    });
}

/// Guards against an end of file for an operator whose configuration is being read when the host ends.
#[test]
fn a_reload_that_is_being_read_is_told_that_the_host_leaves() {
    run(async {
        let (started, has_started) = std::sync::mpsc::channel();
        let end_read = Arc::new(Barrier::new(2));
        let reading = end_read.clone();
        let mut socket = Socket::bind(move || {
            started.send(()).unwrap();
            reading.wait();
        });
        let waiting = socket.ask(ControlRequest::Reload { insist: false });
        let Some(LoopRequest::Deployment(reply)) = socket.requests.recv().await else {
            panic!("no reload");
        };
        let deployment = gullsail_configuration::parse("control.kdl", DOCUMENT).unwrap();
        assert!(reply.send(Arc::new(deployment)).is_ok());
        let wait = tokio::task::spawn_blocking(move || has_started.recv().unwrap());
        wait.await.unwrap();
        socket.end().await;
        assert!(is_leaving(waiting.await.unwrap()));
        end_read.wait();
    });
}

const DOCUMENT: &str = "stream-type \"r\" effect=\"repeatable\" slo=\"1s\" expiry=\"2s\"\nplan \"p\"\n\
    host \"h1\" address=\"127.0.0.1:1\"\nvolume \"v\" plan=\"p\"\n";

/// Connects at once, so that the connection is in the backlog when this returns.
fn connect(path: &Path) -> UnixStream {
    let stream = std::os::unix::net::UnixStream::connect(path).unwrap();
    stream.set_nonblocking(true).unwrap();
    UnixStream::from_std(stream).unwrap()
}

fn line(request: &ControlRequest) -> Vec<u8> {
    let mut text = serde_json::to_string(request).unwrap();
    text.push('\n');
    text.into_bytes()
}
