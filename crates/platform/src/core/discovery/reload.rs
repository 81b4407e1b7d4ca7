//! Applies a new settings document while the host runs. Only the address of discovery takes effect.

use super::super::Core;
use crate::settings_document::SettingsDocument;
use tracing::{info, warn};

impl Core {
    /// Closes the connections to discovery and connects to the address of the new document. Logs a warning if the
    /// document also changes settings that take effect only after a restart.
    pub(in super::super) fn reload(&mut self, document: SettingsDocument) {
        self.context.metrics.reloads += 1;
        if self.needs_restart(&document) {
            warn!(
                "reload: only the discovery address was applied, a change of settings or peers needs a restart"
            );
        }
        info!(
            old_address = self.discovery.address(),
            new_address = document.discovery,
            "configuration reloaded"
        );
        self.discovery
            .restart(document.discovery, &mut self.context);
    }

    /// Whether the document changes the scheduler's configuration, the peers or the names of zones, plans and classes.
    fn needs_restart(&self, document: &SettingsDocument) -> bool {
        let same_config = format!("{:?}", document.config) == format!("{:?}", self.settings.config);
        !same_config
            || document.peers != self.peers.addresses()
            || document.names != self.settings.names
    }
}
