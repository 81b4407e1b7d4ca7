//! The processes of a scenario. They run this program's subcommands and report the address on which they listen. They
//! are signalled by their process id, never by name.

use crate::error::RunError;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

/// The first line that a process writes on standard output.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Listening {
    /// The address on which the process listens.
    pub address: String,
    /// The incarnation, a number that the process draws at each start.
    pub incarnation: u64,
}

/// A running process of a scenario. It is killed when this is dropped.
pub struct Process {
    /// The name of the process in the document.
    pub name: String,
    /// The address and incarnation that the process reported at its start.
    pub listening: Listening,
    child: Child,
}

/// How long a process may take to report its address. The time is long enough for a busy machine.
const START_TIMEOUT: Duration = Duration::from_secs(20);

impl Process {
    /// Starts `program` with these arguments and waits until it reports its address. Its log is appended to the file
    /// `NAME.log` in the directory `logs`.
    ///
    /// # Errors
    /// The process does not start, or does not report its address in time.
    pub async fn start(
        program: &Path,
        name: &str,
        args: &[String],
        logs: &Path,
    ) -> Result<Process, RunError> {
        let fail = |cause: String| RunError::Process {
            name: name.into(),
            cause,
        };
        let log: PathBuf = logs.join(format!("{name}.log"));
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(log)
            .map_err(|e| fail(e.to_string()))?;
        let mut child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .map_err(|e| fail(e.to_string()))?;
        let out = child
            .stdout
            .take()
            .ok_or_else(|| fail("no standard output".into()))?;
        let mut line = String::new();
        let mut out = BufReader::new(out);
        let read = tokio::time::timeout(START_TIMEOUT, out.read_line(&mut line)).await;
        match read {
            Ok(Ok(n)) if n > 0 => {}
            _ => {
                return Err(fail(
                    "did not report its address within 20 s of its start: see its log".into(),
                ));
            }
        }
        let listening = serde_json::from_str(&line).map_err(|e| fail(format!("{e}: {line}")))?;
        Ok(Process {
            name: name.into(),
            listening,
            child,
        })
    }

    /// The process id; `None`: the process has ended.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends a signal to the process, for example to pause or resume it.
    ///
    /// # Errors
    /// The process has ended, or the signal cannot be sent.
    pub fn signal(&self, signal: Signal) -> Result<(), RunError> {
        let fail = |cause: String| RunError::Process {
            name: self.name.clone(),
            cause,
        };
        let id = self
            .child
            .id()
            .ok_or_else(|| fail("the process has already ended".into()))?;
        kill(Pid::from_raw(id as i32), signal).map_err(|e| fail(e.to_string()))
    }

    /// Kills the process without a chance to shut down, as a power failure would.
    pub async fn kill(mut self) {
        // The error is ignored: it means that the process has ended already.
        let _ = self.child.kill().await;
    }

    /// Sends SIGTERM and waits at most `wait` for the process to exit. A paused process is resumed.
    ///
    /// # Errors
    /// The process did not exit in time and was killed, or it could not be signalled.
    pub async fn stop(mut self, wait: Duration) -> Result<ExitStatus, RunError> {
        let fail = |cause: String| RunError::Process {
            name: self.name.clone(),
            cause,
        };
        if let Some(id) = self.child.id() {
            kill(Pid::from_raw(id as i32), Signal::SIGTERM).map_err(|e| fail(e.to_string()))?;
            // A paused process handles the signal only once it continues.
            kill(Pid::from_raw(id as i32), Signal::SIGCONT).map_err(|e| fail(e.to_string()))?;
        }
        match tokio::time::timeout(wait, self.child.wait()).await {
            Ok(status) => status.map_err(|e| fail(e.to_string())),
            Err(_) => {
                // The error is ignored: it means that the process has ended meanwhile.
                let _ = self.child.kill().await;
                Err(fail(format!(
                    "did not exit within {wait:?} of SIGTERM, killed"
                )))
            }
        }
    }
}
