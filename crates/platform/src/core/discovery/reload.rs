//! A new settings document while the host runs: only the address of discovery is applied.

use super::super::Core;
use crate::settings_document::SettingsDocument;
use tracing::{info, warn};

impl Core {
    /// Connects to discovery anew, at the address of the new document.
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

    /// Whether the document changes what is read at the start alone.
    fn needs_restart(&self, document: &SettingsDocument) -> bool {
        let same_config = format!("{:?}", document.config) == format!("{:?}", self.settings.config);
        !same_config
            || document.peers != self.peers.addresses()
            || document.names != self.settings.names
    }
}
