//! Connections of clients: what comes on them, what they are answered, which give way when places run out. One message
//! at a time on each; what comes meanwhile waits, unread, in a small buffer.

use super::ask::{self, Refused};
use super::*;
use gullsail_http::{Decoder, Encoder, Fault, Message, Start};

/// A message is whole within this time from its first byte, the first one from connecting: the platform owes an error
/// or a close within 3 s.
const WHOLE: Span = Span::from_micros(2_200_000);
/// So long a connection may stand idle between messages: the least that the platform names. Who asks once and stays holds
/// one of the connections that clients, too, have only so many of; to connect anew costs little.
const IDLE: Span = Span::from_micros(2_000_000);
/// A newcomer's first message may be this long in coming before it gives way to others.
const COMING_LEAST: Span = Span::from_micros(300_000);
/// What may wait behind an open request. Clients send one message at a time: what comes beyond this is read over, since the
/// end of the connection stands behind it, and the connection is over with the open request's answer.
const AHEAD: usize = 8 << 10;
/// Of the places of clients, the part that only newcomers get while an older connection gives way to each, and the most.
const NEWCOMERS: usize = 8;

#[derive(Debug, PartialEq)]
enum Stage {
    /// Between messages, or within one that is coming.
    Reading,
    /// Its request is open; the message said whether the connection goes on.
    Busy(RequestId, bool),
    /// Its answer is being written; what waits behind it is read then.
    Answering,
    /// It has its last answer, which is being written.
    AttemptOutcome,
    /// All is written and its sending has ended; only the client's own end is waited for.
    Shut,
}

#[derive(Debug)]
struct Client {
    decoder: Decoder,
    stage: Stage,
    /// When it connected, when the last message was answered, or when the first byte of this one came.
    since: Instant,
    served: u64,
    /// Bytes that came, all of them handled: an order to close holds only while the connection's task has read no more.
    heard: u64,
    /// More came behind an open request than may wait.
    crowded: bool,
    /// It idles, and is to be closed if nothing has come on it.
    closing: bool,
}

#[derive(Debug)]
pub(super) struct Clients {
    all: BTreeMap<ConnId, Client>,
    most: usize,
    /// Beyond these each newcomer has another give way.
    usual: usize,
    coming: usize,
    most_coming: usize,
}

impl Clients {
    pub(super) fn new(most: usize, most_coming: usize) -> Clients {
        let usual = most - (most / 8).clamp(1, NEWCOMERS);
        Clients { all: BTreeMap::new(), most, usual, coming: 0, most_coming }
    }
    pub(super) fn len(&self) -> usize {
        self.all.len()
    }
    pub(super) fn has(&self, conn: ConnId) -> bool {
        self.all.contains_key(&conn)
    }
    /// Bytes of messages that are not whole.
    pub(super) fn coming(&self) -> usize {
        self.coming
    }

    /// Without those that are ending, whose places are free in a moment.
    fn staying(&self) -> usize {
        let ends = |c: &&Client| c.closing || matches!(c.stage, Stage::AttemptOutcome | Stage::Shut);
        self.len() - self.all.values().filter(ends).count()
    }

    /// Of those that have a rank the one that comes first.
    fn oldest(&self, rank: impl Fn(&Client) -> Option<u32>) -> Option<ConnId> {
        let all = self.all.iter().filter_map(|(id, c)| Some((rank(c)?, c.since, *id)));
        all.min().map(|(_, _, id)| id)
    }

    /// Who gives way to a newcomer: who never said anything, the oldest first and however young, since usual clients speak
    /// at once and a silent crowd comes faster than any least age would let it go; then who idles longest, though never
    /// under the 2 s that the platform's page of days leaves to it; then whose first message does not come to its end. A
    /// crowd that asks once and stays can so hold all places for 2 s.
    fn gives_way(&self, now: Instant) -> Option<ConnId> {
        self.oldest(|c| match (&c.stage, c.served > 0, c.decoder.is_empty()) {
            _ if c.closing => None,
            (Stage::Reading, false, true) => Some(1),
            (Stage::Reading, true, true) if now - c.since >= IDLE => Some(2),
            (Stage::Reading, false, false) if now - c.since >= COMING_LEAST => Some(3),
            _ => None,
        })
    }
}

impl Core {
    /// Is there a place for a client that connects? Else it waits with the system, which loses nothing. Who is ended but
    /// for the client's own end is dropped for it.
    pub fn has_place(&self) -> bool {
        let c = &self.clients;
        c.len() < c.most || c.all.values().any(|c| c.stage == Stage::Shut)
    }

    /// A client connects.
    pub fn accept(&mut self, now: Instant) -> ConnId {
        self.now = self.now.max(now);
        self.counts.accepted += 1;
        self.make_room(1);
        let conn = self.conn();
        let decoder = Decoder::requests(BOUNDS);
        let client = Client {
            decoder,
            stage: Stage::Reading,
            since: self.now,
            served: 0,
            heard: 0,
            crowded: false,
            closing: false,
        };
        self.clients.all.insert(conn, client);
        self.keep_looking();
        conn
    }

    /// For so many newcomers: others give way, each as far as nothing that was read or answered is lost with it.
    fn make_room(&mut self, newcomers: usize) {
        let (usual, now) = (self.clients.usual, self.now);
        while self.clients.len() + newcomers > usual
            && let Some(ended) = self.clients.oldest(|c| (c.stage == Stage::Shut).then_some(0))
        {
            self.counts.made_room += 1;
            self.drop_client(ended);
        }
        while self.clients.staying() + newcomers > usual {
            let Some(other) = self.clients.gives_way(now) else {
                self.counts.no_place += newcomers as u64;
                return;
            };
            self.counts.made_room += 1;
            if self.clients.all[&other].decoder.is_empty() {
                self.close_idle(other);
            } else {
                self.refuse(other, Refused::TooSlow, false);
            }
        }
    }

    pub(super) fn client_came(&mut self, conn: ConnId, bytes: &[u8]) {
        let now = self.now;
        let Some(c) = self.clients.all.get_mut(&conn) else { return };
        c.heard += bytes.len() as u64;
        match c.stage {
            Stage::AttemptOutcome | Stage::Shut => return,
            Stage::Busy(..) | Stage::Answering if c.decoder.holds() + bytes.len() > AHEAD => {
                if !std::mem::replace(&mut c.crowded, true) {
                    self.counts.crowded += 1;
                    self.outputs.push(Output::Ignore { conn });
                }
                return;
            }
            Stage::Reading if c.decoder.is_empty() && c.served > 0 => c.since = now,
            _ => {}
        }
        c.closing = false;
        let before = c.decoder.holds();
        c.decoder.feed(bytes);
        self.clients.coming += c.decoder.holds() - before;
        self.read_client(conn);
        // Who has been coming longest gives way: whole messages of usual clients come at once.
        while self.clients.coming > self.clients.most_coming {
            let all =
                self.clients.all.iter().filter(|(_, c)| c.stage == Stage::Reading && !c.decoder.is_empty());
            let Some(slow) = all.min_by_key(|(_, c)| c.since).map(|(id, _)| *id) else { break };
            self.refuse(slow, Refused::NoRoom, false);
        }
    }

    /// All of its answer is with the operating system.
    pub(super) fn client_written(&mut self, conn: ConnId) {
        let now = self.now;
        let Some(c) = self.clients.all.get_mut(&conn).filter(|c| c.stage == Stage::Answering) else { return };
        (c.stage, c.since) = (Stage::Reading, now);
        // What waited behind it.
        self.read_client(conn);
    }

    /// Its last answer is written and its sending has ended.
    pub(super) fn client_shut(&mut self, conn: ConnId) {
        let Some(c) = self.clients.all.get_mut(&conn) else { return };
        self.clients.coming -= c.decoder.holds();
        (c.stage, c.closing, c.decoder) = (Stage::Shut, false, Decoder::requests(BOUNDS));
    }

    fn read_client(&mut self, conn: ConnId) {
        while let Some(c) = self.clients.all.get_mut(&conn).filter(|c| c.stage == Stage::Reading) {
            let before = c.decoder.holds();
            let next = c.decoder.take();
            self.clients.coming -= before - c.decoder.holds().min(before);
            match next {
                Ok(None) => return,
                Ok(Some(m)) => self.asked(conn, &m),
                Err(fault) => {
                    let why = match fault {
                        Fault::HeadTooLong | Fault::TooManyLines => Refused::HeadTooLong,
                        Fault::BodyTooLong => Refused::BodyTooLong,
                        _ => Refused::Unreadable,
                    };
                    self.refuse(conn, why, false);
                }
            }
        }
    }

    fn asked(&mut self, conn: ConnId, m: &Message) {
        let health = |m: &Message| match &m.start {
            Start::Request { method, target } => method.as_ref() == b"GET" && target.as_ref() == b"/_health",
            Start::Answer { .. } => false,
        };
        if health(m) {
            let (status, reason) = if self.ready { (200, "OK") } else { (500, "Internal Server Error") };
            return self.reply(conn, status, reason, m.stays, |e| e.body(b""));
        }
        let asked = match ask::read(m, &self.names, &self.config, &self.reach) {
            Ok(asked) => asked,
            Err(why) => return self.refuse(conn, why, m.stays),
        };
        if self.shutdown == Shutdown::Flushing {
            return self.refuse(conn, Refused::ShuttingDown, false);
        }
        if self.requests.is_open(asked.trace) {
            return self.refuse(conn, Refused::IdIsOpen, m.stays);
        }
        let Some(t) = self.requests.take(conn, asked, self.now) else {
            return self.refuse(conn, Refused::NoRoom, m.stays);
        };
        self.counts.taken += 1;
        if let Some(c) = self.clients.all.get_mut(&conn) {
            c.stage = Stage::Busy(t.id, m.stays);
        }
        self.events.push(Event::RequestArrived(t));
    }

    /// Answers on a connection that then goes on, or is finished.
    fn reply(
        &mut self,
        conn: ConnId,
        status: u16,
        reason: &str,
        stays: bool,
        rest: impl FnOnce(Encoder) -> Bytes,
    ) {
        let (now, most) = (self.now, self.clients.usual);
        let guest = self.clients.len() > most && self.clients.staying() > most;
        let Some(c) = self.clients.all.get_mut(&conn) else { return };
        if !matches!(c.stage, Stage::Reading | Stage::Busy(..)) {
            return;
        }
        let stays = stays && !guest && !c.crowded && self.shutdown.takes();
        let e = Encoder::answer(status, reason);
        let bytes = rest(if stays { e } else { e.field("Connection", b"close") });
        self.outputs.push(Output::Answer { conn, bytes });
        (c.since, c.served) = (now, c.served + 1);
        if stays {
            c.stage = Stage::Answering;
        } else {
            self.finish_client(conn);
        }
    }

    fn close_idle(&mut self, conn: ConnId) {
        if let Some(c) = self.clients.all.get_mut(&conn).filter(|c| !c.closing) {
            c.closing = true;
            let seen = c.heard;
            self.outputs.push(Output::CloseIdle { conn, seen });
        }
    }

    fn refuse(&mut self, conn: ConnId, why: Refused, stays: bool) {
        *self.counts.refused.entry(why).or_default() += 1;
        let (status, reason) = why.status();
        self.reply(conn, status, reason, stays, |e| {
            e.field("Content-Type", b"text/plain").body(why.meant().as_bytes())
        });
    }

    fn finish_client(&mut self, conn: ConnId) {
        let Some(c) = self.clients.all.get_mut(&conn) else { return };
        self.clients.coming -= c.decoder.holds();
        (c.stage, c.decoder) = (Stage::AttemptOutcome, Decoder::requests(BOUNDS));
        self.outputs.push(Output::Finish { conn });
    }

    /// Its place is free at once: all of it is written.
    fn drop_client(&mut self, conn: ConnId) {
        if let Some(c) = self.clients.all.remove(&conn) {
            self.clients.coming -= c.decoder.holds();
            self.outputs.push(Output::Close { conn });
        }
    }

    pub(super) fn client_ended(&mut self, conn: ConnId) {
        let Some(c) = self.clients.all.remove(&conn) else { return };
        self.clients.coming -= c.decoder.holds();
        if let Stage::Busy(id, _) = c.stage {
            self.counts.client_left += 1;
            self.requests.end(id);
            self.events.push(Event::ClientDisconnected(id));
        }
    }

    pub(super) fn look_over_clients(&mut self) {
        let now = self.now;
        let reading = self.clients.all.iter().filter(|(_, c)| c.stage == Stage::Reading);
        let (mut slow, mut idle) = (Vec::new(), Vec::new());
        for (id, c) in reading {
            let between = c.decoder.is_empty() && c.served > 0;
            if !between && now - c.since >= WHOLE {
                slow.push(*id);
            } else if between && now - c.since >= IDLE {
                idle.push(*id);
            }
        }
        slow.into_iter().for_each(|conn| self.refuse(conn, Refused::TooSlow, false));
        idle.into_iter().for_each(|conn| self.close_idle(conn));
        if !self.shutdown.takes() {
            self.close_idle_clients(LOOK);
        }
        self.make_room(0);
    }

    /// The host leaves: connections between messages are ended unless something has come on them.
    pub(super) fn close_idle_clients(&mut self, least_age: Span) {
        let now = self.now;
        // Of who connected just now the first message is on its way.
        let idle = |c: &Client| c.decoder.is_empty() && (c.served > 0 || now - c.since >= least_age);
        let idle = self.clients.all.iter().filter(|(_, c)| c.stage == Stage::Reading && idle(c));
        let idle: Vec<_> = idle.map(|(id, _)| *id).collect();
        idle.into_iter().for_each(|conn| self.close_idle(conn));
    }

    /// No more is taken: who idles is closed, and who is still saying something gets an answer.
    pub(super) fn end_clients(&mut self) {
        self.close_idle_clients(Span::ZERO);
        let coming = self.clients.all.iter().filter(|(_, c)| c.stage == Stage::Reading && !c.closing);
        let coming: Vec<_> = coming.map(|(id, _)| *id).collect();
        coming.into_iter().for_each(|conn| self.refuse(conn, Refused::ShuttingDown, false));
    }

    fn answer(
        &mut self,
        id: RequestId,
        status: u16,
        reason: &str,
        rest: impl FnOnce(Encoder) -> Bytes,
    ) -> bool {
        let Some(conn) = self.requests.end(id) else { return false };
        let stays = match self.clients.all.get(&conn).map(|c| &c.stage) {
            Some(Stage::Busy(of, stays)) if *of == id => *stays,
            _ => return false,
        };
        self.reply(conn, status, reason, stays, rest);
        true
    }

    /// Says whether anybody had waited for it.
    pub(super) fn serve(&mut self, id: RequestId, body: &[u8]) -> bool {
        let answered = self.answer(id, 200, "OK", |e| e.body(body));
        self.counts.done += u64::from(answered);
        answered
    }

    pub(super) fn reject(&mut self, id: RequestId, retry_after: Option<Span>) {
        let answered = self.answer(id, 503, "Service Unavailable", |e| match retry_after {
            Some(wait) => e.number("Retry-After", format_args!("{:.3}", wait.secs())).body(b""),
            None => e.body(b""),
        });
        self.counts.rejected += u64::from(answered);
    }

    pub(super) fn fail(&mut self, id: RequestId) {
        let answered = self.answer(id, 500, "Internal Server Error", |e| e.body(b""));
        self.counts.failed += u64::from(answered);
    }
}
