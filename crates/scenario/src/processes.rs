//! The processes of a day: started from this very program, told where they listen by themselves, ended by
//! their own id and nothing else.

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
    pub address: String,
    pub incarnation: u64,
}

/// A process of a scenario that was started and is ended by its id alone.
pub struct Process {
    pub name: String,
    pub listening: Listening,
    child: Child,
}

/// How long a process may take to say where it listens, on a busy machine.
const START: Duration = Duration::from_secs(20);

impl Process {
    /// Starts `program` with these arguments; what it logs goes to `logs`, appended.
    ///
    /// # Errors
    /// It does not start, or does not say where it listens.
    pub async fn start(
        program: &Path,
        name: &str,
        args: &[String],
        logs: &Path,
    ) -> Result<Process, RunError> {
        let fail = |why: String| RunError::Process {
            name: name.into(),
            why,
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
        let read = tokio::time::timeout(START, out.read_line(&mut line)).await;
        match read {
            Ok(Ok(n)) if n > 0 => {}
            _ => {
                return Err(fail(
                    "ended, or said nothing, before it listened; see its log".into(),
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

    /// Stops it where it is, or has it go on.
    ///
    /// # Errors
    /// It has ended.
    pub fn signal(&self, signal: Signal) -> Result<(), RunError> {
        let fail = |why: String| RunError::Process {
            name: self.name.clone(),
            why,
        };
        let id = self
            .child
            .id()
            .ok_or_else(|| fail("it has ended by itself".into()))?;
        kill(Pid::from_raw(id as i32), signal).map_err(|e| fail(e.to_string()))
    }

    /// Outright, as a machine that loses its power.
    pub async fn kill(mut self) {
        // An error says that it has ended already.
        let _ = self.child.kill().await;
    }

    /// Asks it to stop, and waits for at most so long.
    ///
    /// # Errors
    /// It did not end in time; it is killed then.
    pub async fn stop(mut self, wait: Duration) -> Result<ExitStatus, RunError> {
        let fail = |why: String| RunError::Process {
            name: self.name.clone(),
            why,
        };
        if let Some(id) = self.child.id() {
            kill(Pid::from_raw(id as i32), Signal::SIGTERM).map_err(|e| fail(e.to_string()))?;
            // One that stands still hears it only when it goes on.
            kill(Pid::from_raw(id as i32), Signal::SIGCONT).map_err(|e| fail(e.to_string()))?;
        }
        match tokio::time::timeout(wait, self.child.wait()).await {
            Ok(status) => status.map_err(|e| fail(e.to_string())),
            Err(_) => {
                let _ = self.child.kill().await;
                Err(fail(format!(
                    "asked to stop, it did not end within {wait:?}"
                )))
            }
        }
    }
}
