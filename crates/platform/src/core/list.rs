//! Discovery: the whole list, then what changes in it, by questions that wait a while; after a silence or an end the
//! whole list anew. What cannot be read changes nothing.

use super::*;
use crate::document::{Entry, Item, Page};
use gullsail_http::{Decoder, Encoder, Start};
use tracing::warn;

/// How long a question waits for news: short, so that silence is noticed soon.
const WAIT_MS: u64 = 2_000;
/// An answer that is so much later than its wait is none.
const SILENT: Span = Span::from_micros(1_500_000);
/// Between tries, doubled from the first to the last.
const AGAIN: Span = Span::from_micros(50_000);
const AGAIN_MOST: Span = Span::from_micros(800_000);
/// Where lists are pushed, an agent on this machine holds them, answers at once or is silent, and what it holds counts
/// as told from that moment. So who waits long for it, or long between tries, sends to what drains for as long: these two
/// together lie well within a drain's grace of half a second.
const AGENT_SILENT: Span = Span::from_micros(200_000);
const AGENT_AGAIN_MOST: Span = Span::from_micros(100_000);
/// Twenty seconds of such tries. Harms else where an agent takes longer than that for its answer: it would never be heard.
const PATIENT_FROM: u32 = 64;

#[derive(Debug)]
pub(super) struct List {
    address: String,
    conn: Option<ConnId>,
    decoder: Decoder,
    /// Bytes that came on this connection.
    heard_bytes: u64,
    /// Of the last page, on this connection.
    seq: Option<u64>,
    /// Numbers each question, so that a timer knows its own.
    question: u64,
    failed: u32,
    heard: Option<Instant>,
}

impl List {
    pub(super) fn new(address: String) -> List {
        let decoder = Decoder::answers(BOUNDS);
        List { address, conn: None, decoder, heard_bytes: 0, seq: None, question: 0, failed: 0, heard: None }
    }
    pub(super) fn is(&self, conn: ConnId) -> bool {
        self.conn == Some(conn)
    }
    /// How long an answer may take that needs no wait, and the longest wait between tries.
    fn patience(&self, pushed: bool) -> (Span, Span) {
        let long = self.failed >= PATIENT_FROM && self.failed.is_multiple_of(2);
        if pushed && !long { (AGENT_SILENT, AGENT_AGAIN_MOST) } else { (SILENT, AGAIN_MOST) }
    }
    pub(super) fn age(&self, now: Instant) -> Option<Span> {
        self.heard.map(|at| now - at)
    }
}

impl Core {
    pub(super) fn dial_list(&mut self) {
        if self.list.conn.is_some() {
            return;
        }
        let conn = self.conn();
        let l = &mut self.list;
        (l.conn, l.seq, l.decoder, l.heard_bytes) = (Some(conn), None, Decoder::answers(BOUNDS), 0);
        let address = l.address.clone();
        self.outputs.push(Output::Dial { conn, address });
        let (silent, _) = self.list.patience(!self.facts.list_asked);
        self.expect_list(silent);
    }

    fn expect_list(&mut self, within: Span) {
        self.list.question += 1;
        self.due.set(self.now + within, Due::ListSilent(self.list.question));
    }

    pub(super) fn list_up(&mut self) {
        self.ask_list();
    }

    fn ask_list(&mut self) {
        let Some(conn) = self.list.conn else { return };
        let (target, within) = match self.list.seq {
            None => ("/catalog/members".to_string(), self.list.patience(!self.facts.list_asked).0),
            Some(seq) => {
                let target = format!("/catalog/members?after={seq}&wait_ms={WAIT_MS}");
                (target, Span::from_millis(WAIT_MS as f64) + SILENT)
            }
        };
        let host = self.list.address.clone();
        let bytes = Encoder::request(b"GET", target.as_bytes()).field("Host", host.as_bytes()).bare();
        self.outputs.push(Output::Send { conn, bytes, seen: self.list.heard_bytes });
        self.expect_list(within);
    }

    pub(super) fn list_silent(&mut self, question: u64) {
        if self.list.conn.is_some() && self.list.question == question {
            self.list_lost("it says nothing");
        }
    }

    /// Anew, a little later; what is known stays.
    pub(super) fn list_lost(&mut self, why: &str) {
        let Some(conn) = self.list.conn.take() else { return };
        self.counts.list_lost += 1;
        if self.list.failed == 0 {
            warn!(why, address = self.list.address, "discovery is lost");
        }
        self.outputs.push(Output::Close { conn });
        self.events.push(Event::ListLost);
        let (_, most) = self.list.patience(!self.facts.list_asked);
        let wait = AGAIN.times(f64::from(1u32 << self.list.failed.min(10))).min(most);
        self.list.failed += 1;
        self.due.set(self.now + wait, Due::ListAgain);
    }

    pub(super) fn list_came(&mut self, bytes: &[u8]) {
        self.list.heard_bytes += bytes.len() as u64;
        self.list.decoder.feed(bytes);
        match self.list.decoder.take() {
            Ok(None) => {}
            Ok(Some(m)) if m.start == Start::Answer { status: 200 } => {
                match serde_json::from_slice::<Page>(&m.body)
                    .map_err(|e| e.to_string())
                    .and_then(|p| self.page(p))
                {
                    Ok(()) if m.stays && self.list.decoder.is_empty() => self.ask_list(),
                    Ok(()) => self.list_lost("it ends the connection"),
                    Err(why) => self.list_lost(&why),
                }
            }
            Ok(Some(_)) => self.list_lost("it does not answer the question"),
            Err(fault) => self.list_lost(&fault.to_string()),
        }
    }

    /// Takes a page; of its entries those that can be read.
    fn page(&mut self, page: Page) -> Result<(), String> {
        let all = self.entries(&page);
        let extent = if page.whole { Extent::Whole } else { Extent::Changes };
        if !page.whole && self.list.seq.is_none() {
            return Err("changes came where the whole list was asked for".into());
        }
        if page.whole {
            self.counts.lists += 1;
        }
        self.counts.changes += all.len() as u64;
        (self.list.seq, self.list.failed, self.list.heard) = (Some(page.seq), 0, Some(self.now));
        if !self.ready {
            info!(nodes = all.len(), "ready");
        }
        self.ready = true;
        if page.whole || !all.is_empty() {
            self.take_list(extent, &all);
        }
        self.told_of_starts();
        Ok(())
    }

    /// What this host had when it last ran, perhaps long ago.
    pub(super) fn remember(&mut self, page: Page) {
        let all = self.entries(&page);
        self.take_list(Extent::Remembered, &all);
    }

    /// What can be read of a page, with where to dial. An entry that can't be changes nothing for its node: in a whole
    /// list it stays as it is, since one word that nobody knows must not hide what the others say, drains above all.
    fn entries(&mut self, page: &Page) -> Vec<(NodeEntry, String)> {
        let mut all = Vec::with_capacity(page.hosts.len());
        for item in &page.hosts {
            let (name, read) = match item {
                Item::Node(e) => (Some(e.host.as_str()), self.entry(e)),
                Item::Other(v) => (v.get("host").and_then(|h| h.as_str()), None),
            };
            if let (Item::Node(e), Some(n)) = (item, read) {
                all.push((n, e.dial.clone()));
                continue;
            }
            if self.counts.entries_skipped == 0 {
                warn!(node = name, "an entry of the list cannot be read and is skipped");
            }
            self.counts.entries_skipped += 1;
            let known = name.and_then(|n| self.links.listed(NodeId(gullsail_facts::hash(n))));
            all.extend(known.filter(|_| page.whole));
        }
        all
    }

    fn take_list(&mut self, extent: Extent, all: &[(NodeEntry, String)]) {
        if extent != Extent::Changes {
            let missing = self.links.known().filter(|nd| all.iter().all(|(n, _)| n.node != *nd));
            let missing: Vec<_> = missing.collect();
            missing.into_iter().for_each(|node| self.unlisted(node));
        }
        all.iter().for_each(|(n, dial)| self.listed(n, dial));
        let entries = all.iter().map(|(n, _)| n.clone()).collect();
        self.events.push(Event::List { extent, entries });
    }

    fn entry(&self, e: &Entry) -> Option<NodeEntry> {
        let standing = match e.health.as_str() {
            "SERVING" => Standing::Ready,
            "DRAINING" => Standing::Draining,
            "DELETED" => Standing::Gone,
            _ => return None,
        };
        Some(NodeEntry {
            node: NodeId(gullsail_facts::hash(&e.host)),
            cell: CellId(e.block),
            zone: self.names.zone(&e.site),
            standing,
            started: (e.born_ms > 0.0).then_some(Instant::from_millis(e.born_ms)),
            pools: Vec::new(),
        })
    }

    /// Another document: discovery has moved, or is asked anew where it is.
    pub(super) fn reload(&mut self, d: Document) {
        self.counts.reloads += 1;
        let (facts, peers) = (format!("{:?}", d.facts), d.peers);
        if facts != format!("{:?}", self.facts) || peers != self.peers || d.names != self.names {
            warn!("settings and peers change only with a start: of the new document, discovery counts");
        }
        info!(from = self.list.address, to = d.discovery, "another document");
        if let Some(conn) = self.list.conn.take() {
            self.outputs.push(Output::Close { conn });
        }
        (self.list.address, self.list.failed) = (d.discovery, 0);
        self.dial_list();
    }
}
