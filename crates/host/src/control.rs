//! The control socket of a host, a Unix domain socket. Over it, an operator's program queries the state, reloads the
//! configuration, or gives maintenance commands. Each request and each reply is one JSON object on one line.
//! Configurations are read, checked and compared here, outside of the event loop. The loop only applies or rejects
//! them.

mod messages;

pub use messages::{ControlReply, ControlRequest, State};

use crate::core::config_change::{Proposal, ProposalOutcome};
use crate::core::maintenance::{CommandError, CommandOutcome, OperatorCommand};
use crate::core::{Input, RequesterId};
use gullsail_configuration::diff::{Change, diff};
use gullsail_configuration::{Deployment, DiagnosticRecord};
use std::io;
use std::os::unix::fs::{MetadataExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::unix::ReadHalf;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{JoinHandle, JoinSet};

/// The longest request line, in bytes. It has room for a command that names a thousand servers.
const MAX_LINE_BYTES: u64 = 128 * 1024;
/// The most requesters that are served at the same time. Others wait in the socket's backlog.
pub(crate) const MAX_REQUESTERS: usize = 8;
/// How long a requester may take to send its line, and again to read the reply.
const REQUESTER_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a requester may take to send its line once the event loop has ended.
const LAST_LINE_TIMEOUT: Duration = Duration::from_millis(100);
/// How long a configuration may take to be read and checked, unless the caller sets another time. A disk may not
/// respond.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Time until the next attempt to accept a connection after one failed.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Reads the host's configuration again. Returns the configuration, or all problems that were found in it.
pub type Load = dyn Fn() -> Result<Deployment, Vec<DiagnosticRecord>> + Send + Sync;

/// A request of the control socket's task to the event loop, with the channel for the answer.
pub enum LoopRequest {
    /// Returns the current configuration.
    Deployment(oneshot::Sender<Arc<Deployment>>),
    /// Returns the host's state.
    State(oneshot::Sender<State>),
    /// Proposes a configuration. The function builds the input for the core from the id of the requester.
    Propose(
        Box<dyn FnOnce(RequesterId) -> Input + Send>,
        oneshot::Sender<ProposalOutcome>,
    ),
    /// Gives an operator command.
    OperatorCommand(OperatorCommand, oneshot::Sender<CommandOutcome>),
}

/// A bound control socket that is not served yet.
pub struct Control {
    listener: UnixListener,
    file: SocketFile,
    configurations: ConfigurationReader,
}

/// The socket's file. Removes it when dropped, unless another process has replaced it.
struct SocketFile {
    path: PathBuf,
    /// Identity of the file after it was bound; `None`: it could not be read, so the file is not removed.
    id: Option<FileId>,
}

/// Reads configurations, one at a time.
struct ConfigurationReader {
    load: Arc<Load>,
    /// The task of the last read. It may still run after its timeout; no second read is started until it ends.
    reading: Mutex<Option<JoinHandle<()>>>,
    read_timeout: Duration,
    /// Held while a reload is served, so that there is one at a time.
    reload_lock: tokio::sync::Mutex<()>,
}

/// Identity of a file. It differs between files that replace each other at one path.
#[derive(Clone, Copy, PartialEq, Eq)]
struct FileId {
    device: u64,
    inode: u64,
}

fn file_at(path: &Path) -> Option<FileId> {
    let metadata = std::fs::symlink_metadata(path).ok()?;
    Some(FileId {
        device: metadata.dev(),
        inode: metadata.ino(),
    })
}

impl Control {
    /// Binds the socket, with access for this user only. Replaces a socket file that no process listens on. `load`
    /// reads the host's configuration again.
    ///
    /// # Errors
    /// Another process listens on the socket, or it cannot be bound.
    pub fn bind(path: &Path, load: Arc<Load>) -> io::Result<Control> {
        if path.exists() {
            if std::os::unix::net::UnixStream::connect(path).is_ok() {
                let message = format!("another process answers at {}", path.display());
                return Err(io::Error::new(io::ErrorKind::AddrInUse, message));
            }
            std::fs::remove_file(path)?;
        }
        let listener = UnixListener::bind(path)?;
        std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))?;
        Ok(Control {
            listener,
            file: SocketFile {
                path: path.into(),
                id: file_at(path),
            },
            configurations: ConfigurationReader {
                load,
                reading: Mutex::default(),
                read_timeout: READ_TIMEOUT,
                reload_lock: tokio::sync::Mutex::default(),
            },
        })
    }

    /// Sets how long a configuration may take to be read and checked. The default is 20 s.
    pub fn with_read_timeout(mut self, read_timeout: Duration) -> Control {
        self.configurations.read_timeout = read_timeout;
        self
    }

    /// Answers requesters until the event loop has ended and every request that was read is answered.
    pub async fn serve(self, to_loop: mpsc::Sender<LoopRequest>) {
        let Control {
            listener,
            file,
            configurations,
        } = self;
        let service = Arc::new(Service {
            configurations,
            to_loop,
        });
        let mut requesters = JoinSet::new();
        loop {
            tokio::select! {
                () = service.to_loop.closed() => break,
                accepted = listener.accept(), if requesters.len() < MAX_REQUESTERS => match accepted {
                    Ok((stream, _)) => _ = requesters.spawn(service.clone().answer(stream)),
                    Err(_) => tokio::time::sleep(ACCEPT_RETRY).await,
                },
                _ = requesters.join_next(), if !requesters.is_empty() => {}
            }
        }
        // Without the file, no requester can connect. Those in the backlog are told that the host is leaving.
        drop(file);
        for stream in backlog(listener) {
            requesters.spawn(service.clone().answer(stream));
        }
        while requesters.join_next().await.is_some() {}
    }
}

/// Closes a listener. Returns the connections that waited in its backlog.
fn backlog(listener: UnixListener) -> Vec<UnixStream> {
    let Ok(listener) = listener.into_std() else {
        return Vec::new();
    };
    let waiting = std::iter::from_fn(|| listener.accept().ok());
    let ready = waiting.filter_map(|(stream, _)| {
        stream.set_nonblocking(true).ok()?;
        UnixStream::from_std(stream).ok()
    });
    ready.collect()
}

/// Serves the requests of the control socket.
struct Service {
    configurations: ConfigurationReader,
    to_loop: mpsc::Sender<LoopRequest>,
}

impl Service {
    /// Answers one requester. Errors are ignored: a requester that disconnected, or sends nothing, needs no answer.
    async fn answer(self: Arc<Self>, stream: UnixStream) {
        let _ = self.try_answer(stream).await;
    }

    async fn try_answer(&self, mut stream: UnixStream) -> io::Result<()> {
        let (from, mut to) = stream.split();
        let line = self.read_line(from).await?;
        let request = serde_json::from_str(&line);
        let outcome = match request {
            Ok(request) => self.reply(request).await,
            Err(error) => Some(ControlReply::Error {
                why: format!("request not understood: {error}"),
            }),
        };
        let reply = outcome.unwrap_or(ControlReply::Error {
            why: "this host is leaving".into(),
        });
        let mut text = serde_json::to_string(&reply)?;
        text.push('\n');
        tokio::time::timeout(REQUESTER_TIMEOUT, to.write_all(text.as_bytes())).await?
    }

    async fn read_line(&self, from: ReadHalf<'_>) -> io::Result<String> {
        let mut line = String::new();
        let mut from = BufReader::new(from.take(MAX_LINE_BYTES));
        let loop_ended = async {
            self.to_loop.closed().await;
            tokio::time::sleep(LAST_LINE_TIMEOUT).await;
        };
        tokio::select! {
            read = tokio::time::timeout(REQUESTER_TIMEOUT, from.read_line(&mut line)) => { read??; }
            () = loop_ended => return Err(io::ErrorKind::TimedOut.into()),
        }
        Ok(line)
    }

    /// Handles a request and returns the reply to it; `None`: the event loop has ended.
    async fn reply(&self, request: ControlRequest) -> Option<ControlReply> {
        match request {
            ControlRequest::Status => {
                let state = query_loop(&self.to_loop, LoopRequest::State).await?;
                Some(ControlReply::Status(Box::new(state)))
            }
            ControlRequest::Reload { insist } => {
                let _reload_guard = self.configurations.reload_lock.lock().await;
                self.reload(insist).await
            }
            ControlRequest::OperatorCommand(command) => {
                let outcome = query_loop(&self.to_loop, |reply| {
                    LoopRequest::OperatorCommand(command, reply)
                })
                .await?;
                Some(command_reply(outcome))
            }
        }
    }

    async fn reload(&self, insist: bool) -> Option<ControlReply> {
        let from = query_loop(&self.to_loop, LoopRequest::Deployment).await?;
        let read = tokio::select! {
            read = self.configurations.read(&from) => read,
            () = self.to_loop.closed() => return None,
        };
        let ComparedConfiguration { changes, to } = match read {
            Ok(proposed) => proposed,
            Err(reply) => return Some(reply),
        };
        let reported_changes = changes.clone();
        let configurations = [from.clone(), to.clone()];
        let propose = move |requester| {
            let proposal = Proposal {
                requester,
                from,
                to,
                changes,
                insist,
            };
            Input::Propose(Box::new(proposal))
        };
        let outcome = query_loop(&self.to_loop, |reply| {
            LoopRequest::Propose(Box::new(propose), reply)
        })
        .await?;
        // The last reference to the configuration that is not in use is dropped in another thread, so that this does
        // not delay the event loop.
        let _ = tokio::task::spawn_blocking(move || drop(configurations)).await;
        Some(match outcome {
            ProposalOutcome::Taken { revision } => ControlReply::Taken {
                revision: revision.0,
                changes: reported_changes,
            },
            ProposalOutcome::TurnedDown(why) => ControlReply::TurnedDown { why },
        })
    }
}

impl ConfigurationReader {
    /// Reads the configuration and compares it with `from`, the current one. `Err`: the reply that says why this
    /// failed.
    async fn read(&self, from: &Arc<Deployment>) -> Result<ComparedConfiguration, ControlReply> {
        if self.read_in_progress() {
            let why = "the configuration is still being read for an earlier reload; the current one stays";
            return Err(ControlReply::Error { why: why.into() });
        }
        let (result, received) = oneshot::channel();
        let load = self.load.clone();
        let from = from.clone();
        let reading = tokio::task::spawn_blocking(move || {
            // Sending fails if the requester no longer waits.
            let _ = result.send(load().map(|to| ComparedConfiguration {
                changes: diff(&from, &to),
                to: Arc::new(to),
            }));
        });
        if let Ok(mut kept) = self.reading.lock() {
            *kept = Some(reading);
        }
        match tokio::time::timeout(self.read_timeout, received).await {
            Ok(Ok(Ok(proposed))) => Ok(proposed),
            Ok(Ok(Err(problems))) => Err(ControlReply::Broken { problems }),
            Ok(Err(_)) => Err(ControlReply::Error {
                why: "the configuration could not be read: its reader failed".into(),
            }),
            Err(_) => {
                let why = format!(
                    "the configuration was not read within {:?}; the current one stays",
                    self.read_timeout
                );
                Err(ControlReply::Error { why })
            }
        }
    }

    fn read_in_progress(&self) -> bool {
        let Ok(mut reading) = self.reading.lock() else {
            return false;
        };
        reading.take_if(|task| task.is_finished());
        reading.is_some()
    }
}

/// A configuration that was read, and its differences from the current one.
struct ComparedConfiguration {
    changes: Vec<Change>,
    to: Arc<Deployment>,
}

impl Drop for SocketFile {
    fn drop(&mut self) {
        if self.id.is_some() && file_at(&self.path) == self.id {
            // If the file cannot be removed, the next host process replaces it.
            let _ = std::fs::remove_file(&self.path);
        }
    }
}

fn command_reply(outcome: CommandOutcome) -> ControlReply {
    match outcome {
        Ok(()) => ControlReply::CommandTaken,
        Err(error @ CommandError::ResultUnknown) => ControlReply::CommandResultUnknown {
            why: error.to_string(),
        },
        Err(error) => ControlReply::TurnedDown {
            why: vec![error.to_string()],
        },
    }
}

/// Sends a request to the event loop and waits for the answer. `None`: the loop has ended.
async fn query_loop<T>(
    to_loop: &mpsc::Sender<LoopRequest>,
    request: impl FnOnce(oneshot::Sender<T>) -> LoopRequest,
) -> Option<T> {
    let (reply, answer) = oneshot::channel();
    to_loop.send(request(reply)).await.ok()?;
    answer.await.ok()
}

/// Sends a request to the control socket at `path` and waits for the reply, for `wait` at most.
///
/// # Errors
/// No process listens on the socket, it does not answer in time, or its reply is not a valid [`ControlReply`].
/// `UnexpectedEof`: the host ended before it answered.
pub async fn send_request(
    path: &Path,
    request: ControlRequest,
    wait: Duration,
) -> io::Result<ControlReply> {
    let exchange = async {
        let mut stream = UnixStream::connect(path).await?;
        let mut text = serde_json::to_string(&request)?;
        text.push('\n');
        stream.write_all(text.as_bytes()).await?;
        let mut line = String::new();
        if BufReader::new(stream).read_line(&mut line).await? == 0 {
            let why = "the host ended before it answered";
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, why));
        }
        Ok(serde_json::from_str(&line)?)
    };
    tokio::time::timeout(wait, exchange).await?
}
