//! Discovery: the whole list, then what changes in it, by questions that wait a while; after a silence or an end the
//! whole list anew. A call that is silent is left open beside the next one, for a while: whichever answers first counts.
//! What cannot be read changes nothing.

use super::*;
use crate::document::{Entry, Item, Page};
use gullsail_http::{Decoder, Encoder, Start};
use tracing::warn;

/// How long a question waits for news: short, so that silence is noticed soon.
const WAIT_MS: u64 = 2_000;
/// An answer that is so much later than its wait is in doubt: the next call is made beside it. With the wait 3.5 s, and
/// what a silent watch misses counts as told 6 s after it fell silent: a next call that is silent too leaves time for a third.
const SILENT: Span = Span::from_micros(1_500_000);
/// Between tries after a call that ended or was refused, doubled from the first to the last.
const AGAIN: Span = Span::from_micros(50_000);
const AGAIN_MOST: Span = Span::from_micros(800_000);
/// Where lists are pushed, an agent on this machine holds them, answers at once or is silent, and what it holds counts
/// as told from that moment. So who waits long for it, or long between tries, sends to what drains for as long: this one
/// alone, or these two after a refusal, lie well within a drain's grace, of which a quarter of a second is the shortest seen.
const AGENT_SILENT: Span = Span::from_micros(150_000);
const AGENT_AGAIN_MOST: Span = Span::from_micros(100_000);
/// A call in doubt is given up after this, for one that is newer: who is slow is heard in the end, and who is gone is not
/// waited for. Over the longest that a whole list was seen to take from a service that many call at once.
const DOUBTED: Span = Span::from_micros(5_000_000);
/// A list that is older than one before it counts only if nothing newer comes for as long as discovery may take to tell.
const OLDER: Span = Span::from_micros(6_000_000);
/// Lists may come indented: some thousand nodes, whatever other bodies may hold.
const LIST: Bounds = Bounds { head: BOUNDS.head, body: 1 << 20 };

/// A connection to discovery and the one question that is open on it.
#[derive(Debug)]
struct Call {
    conn: ConnId,
    decoder: Decoder,
    /// Bytes that came, all of them handled.
    heard: u64,
    /// Of the last page on this connection.
    seq: Option<u64>,
    /// Numbers each question, so that a timer knows its own.
    question: u64,
    since: Instant,
}

#[derive(Debug)]
pub(super) struct List {
    address: String,
    /// The one that is followed.
    call: Option<Call>,
    /// One before it that is silent.
    doubted: Option<Call>,
    questions: u64,
    failed: u32,
    heard: Option<Instant>,
    /// The newest that this address said, and since when only older ones come.
    newest: Option<u64>,
    older_since: Option<Instant>,
}

impl List {
    pub(super) fn new(address: String) -> List {
        List {
            address,
            call: None,
            doubted: None,
            questions: 0,
            failed: 0,
            heard: None,
            newest: None,
            older_since: None,
        }
    }
    pub(super) fn is(&self, conn: ConnId) -> bool {
        self.call.iter().chain(&self.doubted).any(|c| c.conn == conn)
    }
    fn get(&mut self, conn: ConnId) -> Option<&mut Call> {
        self.call.iter_mut().chain(&mut self.doubted).find(|c| c.conn == conn)
    }
    fn is_doubted(&self, conn: ConnId) -> bool {
        self.doubted.as_ref().is_some_and(|c| c.conn == conn)
    }
    /// How long an answer may take that needs no wait, and the longest wait between tries.
    fn patience(pushed: bool) -> (Span, Span) {
        if pushed { (AGENT_SILENT, AGENT_AGAIN_MOST) } else { (SILENT, AGAIN_MOST) }
    }
    pub(super) fn age(&self, now: Instant) -> Option<Span> {
        self.heard.map(|at| now - at)
    }
}

impl Core {
    pub(super) fn dial_list(&mut self) {
        if self.list.call.is_some() {
            return;
        }
        let (conn, since) = (self.conn(), self.now);
        let decoder = Decoder::answers(LIST);
        self.list.call = Some(Call { conn, decoder, heard: 0, seq: None, question: 0, since });
        let address = self.list.address.clone();
        self.outputs.push(Output::Dial { conn, address });
        self.expect_list(conn, List::patience(!self.config.poll_endpoints).0);
    }

    fn expect_list(&mut self, conn: ConnId, within: Span) {
        self.list.questions += 1;
        let question = self.list.questions;
        if let Some(call) = self.list.get(conn) {
            call.question = question;
            self.due.set(self.now + within, Due::ListSilent(question));
        }
    }

    pub(super) fn ask_list(&mut self, conn: ConnId) {
        let host = self.list.address.clone();
        let Some(call) = self.list.get(conn) else { return };
        let (target, within) = match call.seq {
            None => ("/catalog/members".to_string(), List::patience(!self.config.poll_endpoints).0),
            Some(seq) => {
                let target = format!("/catalog/members?after={seq}&wait_ms={WAIT_MS}");
                (target, Span::from_millis(WAIT_MS as f64) + SILENT)
            }
        };
        let bytes = Encoder::request(b"GET", target.as_bytes()).field("Host", host.as_bytes()).bare();
        let seen = call.heard;
        self.outputs.push(Output::Send { conn, bytes, seen });
        self.expect_list(conn, within);
    }

    /// The next call is made beside it.
    pub(super) fn list_silent(&mut self, question: u64) {
        let Some(call) = self.list.call.take_if(|c| c.question == question) else { return };
        self.list_is_lost("it says nothing");
        let old = self.list.doubted.take_if(|c| self.now - c.since >= DOUBTED);
        let closed = match &self.list.doubted {
            Some(_) => Some(call),
            None => {
                self.list.doubted = Some(Call { since: self.now, ..call });
                old
            }
        };
        self.outputs.extend(closed.map(|c| Output::Close { conn: c.conn }));
        self.dial_list();
    }

    fn list_is_lost(&mut self, why: &str) {
        self.counts.list_lost += 1;
        if self.list.failed == 0 {
            warn!(why, address = self.list.address, "discovery is lost");
        }
        self.list.failed += 1;
        self.events.push(Event::EndpointListLost);
    }

    /// Anew, a little later; what is known stays.
    pub(super) fn list_lost(&mut self, conn: ConnId, why: &str) {
        self.outputs.push(Output::Close { conn });
        if self.list.doubted.take_if(|c| c.conn == conn).is_some() || self.list.call.is_none() {
            return;
        }
        self.list.call = None;
        let (_, most) = List::patience(!self.config.poll_endpoints);
        let wait = AGAIN.times(f64::from(1u32 << self.list.failed.min(10))).min(most);
        self.list_is_lost(why);
        self.due.set(self.now + wait, Due::ListAgain);
    }

    pub(super) fn list_came(&mut self, conn: ConnId, bytes: &[u8]) {
        let Some(call) = self.list.get(conn) else { return };
        call.heard += bytes.len() as u64;
        call.decoder.feed(bytes);
        let why = match call.decoder.take() {
            Ok(None) => return,
            Ok(Some(m)) if m.start == Start::Answer { status: 200 } => {
                let goes_on = m.stays && call.decoder.is_empty();
                let page = serde_json::from_slice::<Page>(&m.body).map_err(|e| e.to_string());
                match page.and_then(|p| self.page(conn, p)) {
                    Ok(()) if goes_on => return self.ask_list(conn),
                    Ok(()) => "it ends the connection".to_string(),
                    Err(why) => why,
                }
            }
            Ok(Some(_)) => "it does not answer the question".to_string(),
            Err(fault) => fault.to_string(),
        };
        self.list_lost(conn, &why);
    }

    /// Takes a page; of its entries those that can be read.
    fn page(&mut self, conn: ConnId, page: Page) -> Result<(), String> {
        let asked_whole = self.list.get(conn).is_some_and(|c| c.seq.is_none());
        if !page.whole && asked_whole {
            return Err("changes came where the whole list was asked for".into());
        }
        if self.list.newest.is_some_and(|newest| page.seq < newest) {
            // Nodes that it does not hold yet would be taken for gone.
            let since = *self.list.older_since.get_or_insert(self.now);
            if self.now - since < OLDER {
                return Err(format!("version {} came after {:?}", page.seq, self.list.newest));
            }
        }
        let all = self.entries(&page);
        let update_kind = if page.whole { UpdateKind::Snapshot } else { UpdateKind::Delta };
        if page.whole {
            self.counts.lists += 1;
        }
        self.counts.changes += all.len() as u64;
        // Whichever call this is, it is followed from now on, and the other one is over.
        let other = if self.list.is_doubted(conn) {
            let doubted = self.list.doubted.take();
            std::mem::replace(&mut self.list.call, doubted)
        } else {
            self.list.doubted.take()
        };
        self.outputs.extend(other.map(|c| Output::Close { conn: c.conn }));
        if let Some(call) = &mut self.list.call {
            call.seq = Some(page.seq);
        }
        let l = &mut self.list;
        (l.failed, l.heard, l.newest, l.older_since) = (0, Some(self.now), Some(page.seq), None);
        if !self.ready {
            info!(nodes = all.len(), "ready");
        }
        self.ready = true;
        if page.whole || !all.is_empty() {
            self.take_list(update_kind, &all);
        }
        self.told_of_starts();
        Ok(())
    }

    /// What this host had when it last ran, perhaps long ago.
    pub(super) fn remember(&mut self, page: Page) {
        let all = self.entries(&page);
        self.take_list(UpdateKind::StaleSnapshot, &all);
    }

    /// What can be read of a page, with where to dial. An entry that can't be changes nothing for its node: in a whole
    /// list it stays as it is, since one word that nobody knows must not hide what the others say, drains above all.
    fn entries(&mut self, page: &Page) -> Vec<(Endpoint, String)> {
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
            let known = name.and_then(|n| self.links.listed(NodeId(gullsail_scheduler_settings::hash(n))));
            all.extend(known.filter(|_| page.whole));
        }
        all
    }

    fn take_list(&mut self, update_kind: UpdateKind, all: &[(Endpoint, String)]) {
        if update_kind != UpdateKind::Delta {
            let missing = self.links.known().filter(|nd| all.iter().all(|(n, _)| n.node != *nd));
            let missing: Vec<_> = missing.collect();
            missing.into_iter().for_each(|node| self.unlisted(node));
        }
        all.iter().for_each(|(n, dial)| self.listed(n, dial));
        let entries = all.iter().map(|(n, _)| n.clone()).collect();
        self.events.push(Event::EndpointList { update_kind, entries });
    }

    fn entry(&self, e: &Entry) -> Option<Endpoint> {
        let state = match e.health.as_str() {
            "SERVING" => EndpointState::Ready,
            "DRAINING" => EndpointState::Draining,
            "DELETED" => EndpointState::Gone,
            _ => return None,
        };
        Some(Endpoint {
            node: NodeId(gullsail_scheduler_settings::hash(&e.host)),
            shard: ShardId(e.block),
            zone: self.names.zone(&e.site),
            state,
            started: (e.born_ms > 0.0).then_some(Instant::from_millis(e.born_ms)),
            pools: Vec::new(),
        })
    }

    /// Another document: discovery has moved, or is asked anew where it is.
    pub(super) fn reload(&mut self, d: Document) {
        self.counts.reloads += 1;
        let (config, peers) = (format!("{:?}", d.config), d.peers);
        if config != format!("{:?}", self.config) || peers != self.peers || d.names != self.names {
            warn!("settings and peers change only with a start: of the new document, discovery counts");
        }
        info!(from = self.list.address, to = d.discovery, "another document");
        let moved = self.list.address != d.discovery;
        let old = self.list.call.take().into_iter().chain(self.list.doubted.take());
        self.outputs.extend(old.map(|c| Output::Close { conn: c.conn }));
        let l = &mut self.list;
        (l.address, l.failed) = (d.discovery, 0);
        if moved {
            (l.newest, l.older_since) = (None, None);
        }
        self.dial_list();
    }
}
