//! The control socket of a host, a local socket. On it, an operator's program queries the state, reloads the
//! configuration, or gives maintenance commands. Each request and each reply is one JSON object on one line.
//! Configurations are read, checked and compared here, outside of the loop that serves requests. The loop only
//! applies or rejects them.

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

/// The longest request line, in bytes: it has room for a command that names a thousand servers.
const MAX_LINE_BYTES: u64 = 128 * 1024;
/// Requesters that are served at once; more wait in the socket's backlog.
pub(crate) const MAX_REQUESTERS: usize = 8;
/// The time a requester has to send its line, and again to read the reply.
const REQUESTER_TIMEOUT: Duration = Duration::from_secs(5);
/// The time a requester has to send its line once the host has ended.
const LAST_LINE_TIMEOUT: Duration = Duration::from_millis(100);
/// The time a configuration may take to be read and checked. A disk may not respond.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between attempts to accept while that fails.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Reads the host's configuration again. Returns the configuration, or everything that is wrong with it.
pub type Load = dyn Fn() -> Result<Deployment, Vec<DiagnosticRecord>> + Send + Sync;

/// A request of the socket's task to the loop, with the channel for the answer.
pub enum LoopRequest {
    /// Returns the configuration that the host serves by.
    Deployment(oneshot::Sender<Arc<Deployment>>),
    /// Returns the host's state.
    State(oneshot::Sender<State>),
    /// Proposes a configuration. The function receives the number of the requester.
    Propose(
        Box<dyn FnOnce(RequesterId) -> Input + Send>,
        oneshot::Sender<ProposalOutcome>,
    ),
    /// Gives an operator command.
    OperatorCommand(OperatorCommand, oneshot::Sender<CommandOutcome>),
}

/// The bound control socket, and how it reads configurations.
pub struct Control {
    listener: UnixListener,
    file: SocketFile,
    configurations: ConfigurationReader,
}

/// The socket's file, which is removed unless another process has replaced it.
struct SocketFile {
    path: PathBuf,
    id: Option<FileId>,
}

/// Reads configurations, one at a time.
struct ConfigurationReader {
    load: Arc<Load>,
    /// A read that took too long and still runs. No second one is started beside it.
    reading: Mutex<Option<JoinHandle<()>>>,
    read_timeout: Duration,
    /// Held by the requester whose reload is served.
    one_reload: tokio::sync::Mutex<()>,
}

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
    /// Binds the socket, for this user only. A socket file at which no process answers is replaced.
    ///
    /// # Errors
    /// Another process answers there, or the socket cannot be bound.
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
                one_reload: tokio::sync::Mutex::default(),
            },
        })
    }

    /// Sets how long a configuration may take to be read. The default is 20 s.
    pub fn reading_within(mut self, read_timeout: Duration) -> Control {
        self.configurations.read_timeout = read_timeout;
        self
    }

    /// Answers requesters, until the loop has ended and every request that was read is answered.
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
        // Nobody can connect any more. Who has connected already is told that the host is leaving.
        drop(file);
        for stream in backlog(listener) {
            requesters.spawn(service.clone().answer(stream));
        }
        while requesters.join_next().await.is_some() {}
    }
}

/// The connections that wait in the backlog of a socket that is closed.
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

/// What serves the requesters.
struct Service {
    configurations: ConfigurationReader,
    to_loop: mpsc::Sender<LoopRequest>,
}

impl Service {
    /// A requester that left, or sends nothing, needs no answer.
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

    /// `None`: the loop has ended.
    async fn reply(&self, request: ControlRequest) -> Option<ControlReply> {
        match request {
            ControlRequest::Status => {
                let state = query_loop(&self.to_loop, LoopRequest::State).await?;
                Some(ControlReply::Status(Box::new(state)))
            }
            ControlRequest::Reload { insist } => {
                let _one_reload = self.configurations.one_reload.lock().await;
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
        let Proposed { changes, to } = match read {
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
        // The last reference to the configuration that is not in use is dropped here, so that it does not delay
        // the loop. Dropping returns nothing.
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
    /// Reads the configuration and compares it with the current one. `Err`: the reply that says why this failed.
    async fn read(&self, from: &Arc<Deployment>) -> Result<Proposed, ControlReply> {
        if self.read_in_progress() {
            let why = "the configuration is still being read for an earlier reload; the current one stays";
            return Err(ControlReply::Error { why: why.into() });
        }
        let (result, received) = oneshot::channel();
        let load = self.load.clone();
        let from = from.clone();
        let reading = tokio::task::spawn_blocking(move || {
            // The requester may no longer wait.
            let _ = result.send(load().map(|to| Proposed {
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

/// A configuration that was read, and how it differs from the current one.
struct Proposed {
    changes: Vec<Change>,
    to: Arc<Deployment>,
}

impl Drop for SocketFile {
    fn drop(&mut self) {
        if self.id.is_some() && file_at(&self.path) == self.id {
            // Nothing can be done about a file that cannot be removed; the next host replaces it.
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

/// Sends a request to the loop and waits for the answer. `None`: the loop has ended.
async fn query_loop<T>(
    to_loop: &mpsc::Sender<LoopRequest>,
    request: impl FnOnce(oneshot::Sender<T>) -> LoopRequest,
) -> Option<T> {
    let (reply, answer) = oneshot::channel();
    to_loop.send(request(reply)).await.ok()?;
    answer.await.ok()
}

/// Sends a request to a host's control socket, as its operator's program does, and waits for the answer.
///
/// # Errors
/// No process answers there, or not before the timeout. `UnexpectedEof`: the host ended before it answered.
pub async fn ask(path: &Path, request: ControlRequest, wait: Duration) -> io::Result<ControlReply> {
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
