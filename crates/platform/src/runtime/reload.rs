//! Reads the settings document again, on a separate thread so that the event loop is not blocked.

use super::read_settings;
use crate::settings_document::SettingsDocument;
use miette::{IntoDiagnostic, Result};
use std::path::PathBuf;
use tokio::task::JoinHandle;

/// Reads the settings document on request, one read at a time.
pub(super) struct Reload {
    file: PathBuf,
    /// The read in progress, if any.
    reading: Option<JoinHandle<Result<SettingsDocument>>>,
    /// A reload was requested during the read in progress. The file may have changed since that read began.
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

    /// Starts to read the file. If a read is in progress, the file is read once more after it.
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

    /// Waits for the read in progress and returns the document. Never completes if no read is in progress. Cancel-safe.
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
