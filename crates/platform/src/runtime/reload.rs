//! Reads the settings document again, on a thread of its own while the event loop goes on.

use super::read_settings;
use crate::settings_document::SettingsDocument;
use miette::{IntoDiagnostic, Result};
use std::path::PathBuf;
use tokio::task::JoinHandle;

/// Reads the settings document on request, one read at a time.
pub(super) struct Reload {
    file: PathBuf,
    reading: Option<JoinHandle<Result<SettingsDocument>>>,
    /// Requested while the file was being read, which may have changed since.
    requested_again: bool,
}

impl Reload {
    pub(super) fn new(file: PathBuf) -> Reload {
        Reload {
            file,
            reading: None,
            requested_again: false,
        }
    }

    /// Starts to read the file, or remembers to read it again when the present read is finished.
    pub(super) fn request(&mut self) {
        if self.reading.is_some() {
            self.requested_again = true;
        } else {
            self.begin();
        }
    }

    fn begin(&mut self) {
        let file = self.file.clone();
        self.reading = Some(tokio::task::spawn_blocking(move || read_settings(&file)));
    }

    /// Waits for the document; never completes while none is being read. Cancelling the wait loses nothing.
    pub(super) async fn finished(&mut self) -> Result<SettingsDocument> {
        let Some(reading) = &mut self.reading else {
            return std::future::pending().await;
        };
        let document = reading.await.into_diagnostic();
        self.reading = None;
        if std::mem::take(&mut self.requested_again) {
            self.begin();
        }
        document?
    }
}
