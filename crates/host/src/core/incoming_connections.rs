//! Connections that others open to this host: how many there may be, and which one gives way when all places
//! are taken.

use super::Core;
use super::connection_table::{FIRST_FRAME_CONNECT_TIMES, Link, PeerKind};
use super::input_output::LinkId;
use gullsail_scheduler_api::{Instant, Span};

/// Connections that others open to this host, where the caller sets no number.
pub(super) const MAX_LINKS: usize = 20_000;
/// Between searches for an idle client, while all places are taken.
const IDLE_SEARCH_INTERVAL: Span = Span::from_micros(100_000);

impl Core {
    /// Somebody connected; `None`: there are as many connections as there may be, and this one is to be
    /// dropped.
    pub fn accept(&mut self, now: Instant) -> Option<LinkId> {
        self.now = self.now.max(now);
        if self.stopping
            || (self.incoming_links >= self.max_incoming_links && !self.close_idle_client())
        {
            self.counts.links_refused += 1;
            return None;
        }
        self.incoming_links += 1;
        let hello = self.hello();
        let link = self.open_link(PeerKind::Unidentified { sent: hello.len() });
        self.expect_response(link, FIRST_FRAME_CONNECT_TIMES);
        self.send(link, hello);
        Some(link)
    }

    /// How many connections others may open: below what the process can hold, so that nodes, peers, the list
    /// and the operator can still be reached when clients take all they get.
    pub fn set_max_incoming_links(&mut self, most: usize) {
        self.max_incoming_links = most.clamp(1, MAX_LINKS);
    }

    /// Closes the client that has been idle longest, if one has been for as long as a stalled one may be. It
    /// is searched for at intervals only, since a search visits all connections.
    fn close_idle_client(&mut self) -> bool {
        if self.now < self.next_idle_search {
            return false;
        }
        self.next_idle_search = self.now + IDLE_SEARCH_INTERVAL;
        let idle = |id: LinkId, l: &Link| {
            matches!(l.peer_kind, PeerKind::Client) && l.unsent == 0 && !self.requests.has_any(id)
        };
        let oldest = self
            .links
            .iter()
            .filter(|(id, l)| idle(**id, l))
            .min_by_key(|(_, l)| l.last_frame_at);
        let patience = self.deployment.bounds.client_stall;
        let Some(id) = oldest
            .filter(|(_, l)| self.now - l.last_frame_at > patience)
            .map(|(id, _)| *id)
        else {
            return false;
        };
        self.close_link(id, "idle, and others want its place");
        true
    }
}
