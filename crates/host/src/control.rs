//! The control socket of a host: a local one, on which its operator's program asks for the state, or for the host's
//! document to be read again. One JSON object a line goes in, one comes out. Documents are read, checked and
//! compared here, away from the loop that serves; the loop only takes or turns down what is ready.

use crate::core::changes::Reply;
use crate::core::fleet::FleetView;
use crate::core::maintenance::{CommandOutcome, MaintenanceView, OperatorCommand};
use crate::core::zones::{BudgetOverrun, Crossed};
use crate::core::{Counts, Input};
use gullsail_configuration::diff::{Change, diff};
use gullsail_configuration::{Deployment, DiagnosticRecord};
use serde::{Deserialize, Serialize};
use std::io;
use std::os::unix::fs::{MetadataExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

/// A line asks for little; the longest names a thousand machines.
const LINE: u64 = 128 * 1024;
/// For the asker to say it, and to take the answer. One is heard at a time.
const PATIENCE: Duration = Duration::from_secs(5);
/// For a document to be read and checked: a disk that stands still must not hold the socket for good.
const READING: Duration = Duration::from_secs(20);

/// Reads the host's document again: what it says, or all that is wrong with it.
pub type Load = dyn Fn() -> Result<Deployment, Vec<DiagnosticRecord>> + Send + Sync;

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "kebab-case")]
pub enum ControlRequest {
    /// Read the document again and serve by it. `insist`: with dangerous changes too.
    Reload {
        #[serde(default)]
        insist: bool,
    },
    Status,
    /// Machines are to go out for work, are back, or are not to go.
    #[serde(rename = "word")]
    OperatorCommand(OperatorCommand),
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "told", rename_all = "kebab-case")]
pub enum ControlReply {
    Taken {
        revision: u64,
        changes: Vec<Change>,
    },
    /// It was sound, and can't be served by now.
    TurnedDown {
        why: Vec<String>,
    },
    /// It is not sound.
    Broken {
        problems: Vec<DiagnosticRecord>,
    },
    Status(Box<State>),
    /// The order counts, whoever decides; what it waits for is in the state.
    #[serde(rename = "word-taken")]
    CommandTaken,
    /// The asker was not understood.
    Error {
        why: String,
    },
}

/// What one version does not tell is empty or 0 where another reads it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct State {
    pub host: String,
    pub revision: u64,
    /// Hosts not known to have followed to this revision: until then the lower parts of limits hold.
    pub behind: Vec<String>,
    pub open: usize,
    #[serde(rename = "legs_out")]
    pub attempts_out: usize,
    pub held_bytes: usize,
    pub counts: Counts,
    /// What crossed between zones in this incarnation of the host, and what of it went past budgets.
    pub crossed: Vec<Crossed>,
    pub past: Vec<BudgetOverrun>,
    /// What the hosts settled, as this one sees it; `None`: nothing is settled here.
    pub fleet: Option<FleetView>,
    /// Machines out for work; `None`: there are no such orders.
    #[serde(rename = "works")]
    pub maintenance: Option<MaintenanceView>,
}

/// What the socket's task wants of the loop.
pub enum ToLoop {
    Document(oneshot::Sender<Arc<Deployment>>),
    State(oneshot::Sender<State>),
    Propose(Box<dyn FnOnce(u64) -> Input + Send>, oneshot::Sender<Reply>),
    OperatorCommand(OperatorCommand, oneshot::Sender<CommandOutcome>),
}

/// A socket that is bound, and what it reads documents with.
pub struct Control {
    listener: UnixListener,
    path: PathBuf,
    /// Of the socket's file, device and number: another process may have put its own there since.
    file: Option<(u64, u64)>,
    load: Arc<Load>,
    /// A reading that took too long and goes on by itself; there is no second one beside it.
    reading: Mutex<Option<JoinHandle<()>>>,
    reads_within: Duration,
}

fn file_at(path: &Path) -> Option<(u64, u64)> {
    std::fs::symlink_metadata(path).ok().map(|m| (m.dev(), m.ino()))
}

impl Control {
    /// For this user only. A socket file that nobody answers at any more is replaced.
    ///
    /// # Errors
    /// Another process answers there, or it can't be bound.
    pub fn bind(path: &Path, load: Arc<Load>) -> io::Result<Control> {
        if path.exists() {
            if std::os::unix::net::UnixStream::connect(path).is_ok() {
                let why = format!("another process answers at {}", path.display());
                return Err(io::Error::new(io::ErrorKind::AddrInUse, why));
            }
            std::fs::remove_file(path)?;
        }
        let listener = UnixListener::bind(path)?;
        std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))?;
        Ok(Control {
            listener,
            path: path.into(),
            file: file_at(path),
            load,
            reading: Mutex::default(),
            reads_within: READING,
        })
    }

    /// How long a document may take to be read, where it is not to be the twenty seconds that it is else.
    pub fn reading_within(mut self, reads_within: Duration) -> Control {
        self.reads_within = reads_within;
        self
    }

    /// Answers one asker after the other; ends with the loop.
    pub async fn serve(self, to_loop: mpsc::Sender<ToLoop>) {
        while !to_loop.is_closed() {
            let Ok((stream, _)) = self.listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            // An asker that is gone, or says nothing, is nobody's loss.
            let _ = self.answer(stream, &to_loop).await;
        }
    }

    async fn answer(&self, mut stream: UnixStream, to_loop: &mpsc::Sender<ToLoop>) -> io::Result<()> {
        let (from, mut to) = stream.split();
        let mut line = String::new();
        let mut from = BufReader::new(from.take(LINE));
        tokio::time::timeout(PATIENCE, from.read_line(&mut line)).await??;
        let told = match serde_json::from_str(&line) {
            Ok(ControlRequest::Status) => {
                told(to_loop, ToLoop::State).await.map(|state| ControlReply::Status(Box::new(state)))
            }
            Ok(ControlRequest::Reload { insist }) => self.reload(insist, to_loop).await,
            Ok(ControlRequest::OperatorCommand(command)) => {
                told(to_loop, |reply| ToLoop::OperatorCommand(command, reply)).await.map(|said| match said {
                    Ok(()) => ControlReply::CommandTaken,
                    Err(why) => ControlReply::TurnedDown { why: vec![why] },
                })
            }
            Err(e) => Some(ControlReply::Error { why: format!("not understood: {e}") }),
        };
        let told = told.unwrap_or(ControlReply::Error { why: "this host is leaving".into() });
        let mut text = serde_json::to_string(&told)?;
        text.push('\n');
        tokio::time::timeout(PATIENCE, to.write_all(text.as_bytes())).await?
    }

    async fn reload(&self, insist: bool, to_loop: &mpsc::Sender<ToLoop>) -> Option<ControlReply> {
        let from = told(to_loop, ToLoop::Document).await?;
        let (load, old) = (self.load.clone(), from.clone());
        let still = |reading: &mut Option<JoinHandle<()>>| {
            reading.take_if(|r| r.is_finished()).is_none() && reading.is_some()
        };
        if self.reading.lock().is_ok_and(|mut r| still(&mut r)) {
            let why =
                "the document is still being read for an earlier reload; the one that is served by stays";
            return Some(ControlReply::Error { why: why.into() });
        }
        let (said, told_of) = oneshot::channel();
        let reading = tokio::task::spawn_blocking(move || {
            // Whoever asked may have given up.
            let _ = said.send(load().map(|new| (diff(&old, &new), Arc::new(new))));
        });
        if let Ok(mut kept) = self.reading.lock() {
            *kept = Some(reading);
        }
        let (changes, to) = match tokio::time::timeout(self.reads_within, told_of).await {
            Ok(Ok(Ok(both))) => both,
            Ok(Ok(Err(problems))) => return Some(ControlReply::Broken { problems }),
            Ok(Err(_)) => {
                return Some(ControlReply::Error {
                    why: "the document could not be read: its reader failed".into(),
                });
            }
            Err(_) => {
                let why = format!(
                    "the document was not read within {:?}; the one that is served by stays",
                    self.reads_within
                );
                return Some(ControlReply::Error { why });
            }
        };
        let (reply, replied) = oneshot::channel();
        let (kept, both) = (changes.clone(), (from.clone(), to.clone()));
        let propose = move |asker| {
            let proposal = crate::core::changes::Proposal { asker, from, to, changes, insist };
            Input::Propose(Box::new(proposal))
        };
        to_loop.send(ToLoop::Propose(Box::new(propose), reply)).await.ok()?;
        let reply = replied.await.ok()?;
        // The last hold on the one that is not served by is let go here, not in the loop; nothing comes of it.
        let _ = tokio::task::spawn_blocking(move || drop(both)).await;
        Some(match reply {
            Reply::Taken { revision } => ControlReply::Taken { revision: revision.0, changes: kept },
            Reply::TurnedDown(why) => ControlReply::TurnedDown { why },
        })
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        // If it is gone already, or another process's by now, so be it.
        if self.file.is_some() && file_at(&self.path) == self.file {
            let _ = std::fs::remove_file(&self.path);
        }
    }
}

/// Asks the loop; `None`: it has ended.
async fn told<T>(
    to_loop: &mpsc::Sender<ToLoop>,
    what: impl FnOnce(oneshot::Sender<T>) -> ToLoop,
) -> Option<T> {
    let (reply, replied) = oneshot::channel();
    to_loop.send(what(reply)).await.ok()?;
    replied.await.ok()
}

/// Asks a host, as its operator's program does.
///
/// # Errors
/// Nobody answers there, or not in time.
pub async fn ask(path: &Path, ask: ControlRequest, wait: Duration) -> io::Result<ControlReply> {
    let asked = async {
        let mut stream = UnixStream::connect(path).await?;
        let mut text = serde_json::to_string(&ask)?;
        text.push('\n');
        stream.write_all(text.as_bytes()).await?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).await?;
        Ok(serde_json::from_str(&line)?)
    };
    tokio::time::timeout(wait, asked).await?
}
