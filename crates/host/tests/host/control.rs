//! The control socket while the event loop is busy, delays an answer or has ended. The tests take the place of the loop
//! and decide when it answers.

use gullsail_host::control::{
    Control, ControlReply, ControlRequest, LoopRequest, State, send_request,
};
use gullsail_host::core::maintenance::{CommandError, CommandOutcome, OperatorCommand};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Barrier};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::UnixStream;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

/// Longer than any wait in these tests.
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
        tokio::spawn(async move { send_request(&path, request, LONG).await })
    }

    /// Receives the next request, an operator's command. Returns the channel for its result.
    async fn held_command(&mut self) -> oneshot::Sender<CommandOutcome> {
        match self.requests.recv().await {
            Some(LoopRequest::OperatorCommand(_, reply)) => reply,
            _ => panic!("no command"),
        }
    }

    /// Ends the loop. The socket is served until every requester has a reply.
    async fn end_loop(self) {
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

/// Guards against an operator who waits for the result of a command and blocks the socket for all others.
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

/// Guards against an answer that is given but never written, because the host ends at the same moment.
#[test]
fn an_answer_given_before_the_loop_ends_is_written() {
    run(async {
        let mut socket = Socket::bind(|| ());
        let waiting = socket.ask(command());
        let held = socket.held_command().await;
        held.send(Err(CommandError::ResultUnknown)).unwrap();
        socket.end_loop().await;
        let reply = waiting.await.unwrap().unwrap();
        assert!(matches!(reply, ControlReply::CommandResultUnknown { .. }));
    });
}

/// Guards against an end of file instead of a reply, for an operator whose command has no result when the host ends.
#[test]
fn a_command_without_a_result_is_told_that_the_host_leaves() {
    run(async {
        let mut socket = Socket::bind(|| ());
        let waiting = socket.ask(command());
        drop(socket.held_command().await);
        socket.end_loop().await;
        assert!(is_leaving(waiting.await.unwrap()));
    });
}

/// Guards against an end of file instead of a reply, for an operator who had connected but was not served when the host
/// ended.
#[test]
fn a_requester_in_the_backlog_is_told_that_the_host_leaves() {
    run(async {
        let socket = Socket::bind(|| ());
        // The socket's task has not run yet, so connections stay in the backlog until the loop has ended.
        let mut waiting = connect(&socket.path);
        waiting.write_all(&request_line(&command())).await.unwrap();
        socket.end_loop().await;
        let mut text = String::new();
        waiting.read_to_string(&mut text).await.unwrap();
        assert!(text.contains("this host is leaving"), "{text}");
    });
}

/// Guards against a requester that sends nothing and keeps the host from ending.
#[test]
fn a_silent_requester_does_not_delay_the_shutdown() {
    run(async {
        let socket = Socket::bind(|| ());
        let _silent = connect(&socket.path);
        let path = socket.path.clone();
        socket.end_loop().await;
        assert!(!path.exists(), "the socket's file is removed");
    });
}

/// Guards against an end of file instead of a reply, for an operator whose configuration is being read when the host
/// ends.
#[test]
fn a_reload_in_progress_is_told_that_the_host_leaves() {
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
        socket.end_loop().await;
        assert!(is_leaving(waiting.await.unwrap()));
        end_read.wait();
    });
}

const DOCUMENT: &str = "stream-type \"r\" effect=\"repeatable\" slo=\"1s\" expiry=\"2s\"\nplan \"p\"\n\
    host \"h1\" address=\"127.0.0.1:1\"\nvolume \"v\" plan=\"p\"\n";

/// Connects without yielding to the runtime, so that the connection is in the backlog when this returns.
fn connect(path: &Path) -> UnixStream {
    let stream = std::os::unix::net::UnixStream::connect(path).unwrap();
    stream.set_nonblocking(true).unwrap();
    UnixStream::from_std(stream).unwrap()
}

fn request_line(request: &ControlRequest) -> Vec<u8> {
    let mut text = serde_json::to_string(request).unwrap();
    text.push('\n');
    text.into_bytes()
}
