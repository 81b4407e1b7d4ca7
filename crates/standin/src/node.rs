//! A storage node on a socket: the model decides how long things take, this keeps objects and marks and speaks
//! the frames. It runs until its task is dropped, or until it falls over.

use crate::model::{Arrival, Model};
use crate::{BASE_OBJECTS, base_content};
use bytes::Bytes;
use gullsail_configuration::Machine;
use gullsail_interface::{ColdStart, Instant, Span};
use gullsail_links::{Happened, Link};
use gullsail_protocol::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tracing::{info, warn};

/// Marks are kept this long, and no shorter than any stated window.
const MARKS_KEPT: Span = Span::from_micros(600_000_000);

pub struct NodeLife {
    pub name: String,
    pub cell: i64,
    pub machine: Machine,
    pub cold: ColdStart,
    pub incarnation: u64,
    /// How long it is taken to be up already.
    pub age: Span,
    pub bounds: Bounds,
}

struct Node {
    life: NodeLife,
    model: Model,
    links: BTreeMap<u64, Link>,
    legs: BTreeMap<u64, (u64, Leg, Bytes)>,
    objects: BTreeMap<u64, Bytes>,
    marks: BTreeMap<String, (Instant, Handle)>,
    rng: ChaCha8Rng,
    fail: f64,
    /// This part of a stream type's transfers costs so many times their usual work.
    costly: Option<(String, f64, f64)>,
    troubles: Vec<(Instant, &'static str)>,
}

/// Serves on the listener; returns when the node has fallen over.
pub async fn serve(life: NodeLife, listener: TcpListener) {
    let began = tokio::time::Instant::now();
    let now = || Instant::from_micros(began.elapsed().as_micros() as i64);
    let mut rng = ChaCha8Rng::seed_from_u64(life.incarnation);
    let born = now() - life.age;
    let model = ChaCha8Rng::seed_from_u64(rng.random());
    let model = Model::new(life.machine.clone(), life.cold, born, now(), model);
    let (sink, mut inbox) = mpsc::channel(1024);
    let mut tasks = JoinSet::new();
    let mut n = Node {
        life,
        model,
        links: BTreeMap::new(),
        legs: BTreeMap::new(),
        objects: BTreeMap::new(),
        marks: BTreeMap::new(),
        rng,
        fail: 0.0,
        costly: None,
        troubles: Vec::new(),
    };
    let (mut last_link, mut last_leg) = (0, 0);
    loop {
        for id in n.model.advance(now()) {
            n.finish(id, now());
        }
        n.troubles_end(now());
        let wake = tokio::time::Instant::now()
            + std::time::Duration::from_micros((n.model.next() - now()).micros().clamp(200, 1_000_000) as u64);
        tokio::select! {
            came = listener.accept() => if let Ok((stream, _)) = came {
                last_link += 1;
                let link = Link::open(stream, last_link, n.life.bounds, 16_384, &sink, &mut tasks);
                let age_us = (now() - born).micros();
                let _ = link.send(Frame::from(Hello {
                    role: Role::Node as i32,
                    name: n.life.name.clone(),
                    incarnation: n.life.incarnation,
                    age_us,
                    cell_plus_one: n.life.cell + 1,
                }));
                n.links.insert(last_link, link);
            },
            Some((link, happened)) = inbox.recv() => match happened {
                Happened::Frame(frame) => {
                    last_leg += 1;
                    if n.hear(link, frame, last_leg, now()) {
                        warn!(node = n.life.name, "cold, sent too much: fell over");
                        return;
                    }
                }
                Happened::Closed(_) => _ = n.links.remove(&link),
                Happened::Written(_) => {}
            },
            () = tokio::time::sleep_until(wake) => {}
            _ = tasks.join_next(), if !tasks.is_empty() => {}
        }
    }
}

impl Node {
    /// `true`: it fell over.
    fn hear(&mut self, link: u64, frame: Frame, id: u64, now: Instant) -> bool {
        match frame.message {
            Message::Leg(leg) => {
                let costly = self.costly.as_ref().filter(|c| c.0.is_empty() || c.0 == leg.stream_type);
                let dear = costly.filter(|c| self.rng.random_bool(c.1)).map_or(1.0, |c| c.2);
                match self.model.arrive(now, id, leg.units, leg.write, dear) {
                    Arrival::Taken => _ = self.legs.insert(id, (link, leg, frame.body)),
                    Arrival::Full => {
                        let result = LegResult::TurnedAway as i32;
                        self.send(
                            link,
                            Frame::from(LegAnswer { leg: leg.leg, result, ..LegAnswer::default() }),
                        );
                    }
                    Arrival::FellOver => return true,
                }
            }
            Message::Cancel(c) => {
                let waits = self.legs.iter().find(|(_, (l, leg, _))| *l == link && leg.leg == c.leg);
                if let Some(id) = waits.map(|(id, _)| *id).filter(|id| self.model.cancel(*id)) {
                    self.legs.remove(&id);
                }
            }
            Message::Probe(p) => {
                let (running, queued) = self.model.load();
                self.send(link, Frame::from(ProbeAnswer { id: p.id, running, queued }));
            }
            Message::Order(o) => self.order(&o, now),
            _ => {}
        }
        false
    }

    fn order(&mut self, o: &Order, now: Instant) {
        let lasts = Span::from_micros(o.lasts_us);
        info!(node = self.life.name, what = o.what, size = o.size, ms = lasts.millis(), "trouble");
        match o.what.as_str() {
            "stall" => self.model.stall(now, lasts),
            "slow" => {
                self.model.slow(o.size);
                self.troubles.push((now + lasts, "slow"));
            }
            "costly" => {
                self.costly = Some((o.stream_type.clone(), o.share.clamp(0.0, 1.0), o.size));
                self.troubles.push((now + lasts, "costly"));
            }
            "fail" => {
                self.fail = o.size;
                self.troubles.push((now + lasts, "fail"));
            }
            other => warn!(node = self.life.name, what = other, "a trouble that a node does not know"),
        }
    }

    fn troubles_end(&mut self, now: Instant) {
        let (over, on): (Vec<_>, Vec<_>) = self.troubles.drain(..).partition(|t| t.0 <= now);
        self.troubles = on;
        for (_, what) in over {
            match what {
                "slow" => self.model.slow(1.0),
                "costly" => self.costly = None,
                _ => self.fail = 0.0,
            }
        }
    }

    fn finish(&mut self, id: u64, now: Instant) {
        let Some((link, leg, body)) = self.legs.remove(&id) else { return };
        let answer = LegAnswer { leg: leg.leg, result: LegResult::Failed as i32, ..LegAnswer::default() };
        if self.rng.random_bool(self.fail.clamp(0.0, 1.0)) {
            let reason = "told to fail".into();
            return self.send(link, Frame::from(LegAnswer { reason, ..answer }));
        }
        let done =
            LegAnswer { result: LegResult::Done as i32, ran: true, handle: leg.handle, ..answer.clone() };
        let cell = self.life.cell;
        let frame = if leg.write {
            self.marks.retain(|_, m| now - m.0 < MARKS_KEPT);
            if let Some((_, handle)) = self.marks.get(&leg.mark).filter(|_| !leg.mark.is_empty()) {
                // The repeat of one that took effect: the same answer, no second effect.
                Frame::from(LegAnswer { ran: false, handle: Some(*handle), ..done })
            } else {
                let new = || Handle { cell, object: BASE_OBJECTS + self.rng.random_range(0..u64::MAX / 2) };
                let handle = leg.handle.unwrap_or_else(new);
                self.objects.insert(handle.object, body);
                self.marks.insert(leg.mark, (now, handle));
                Frame::from(LegAnswer { handle: Some(handle), ..done })
            }
        } else {
            let found = leg.handle.filter(|h| h.cell == cell).and_then(|h| {
                let written = self.objects.get(&h.object).cloned();
                written.or_else(|| (h.object < BASE_OBJECTS).then(|| base_content(h)))
            });
            match found {
                Some(bytes) => Frame::from(done).with_body(bytes),
                None => Frame::from(LegAnswer { reason: "no such object here".into(), ..answer }),
            }
        };
        self.send(link, frame);
    }

    fn send(&self, link: u64, frame: Frame) {
        // A link that is gone, or takes nothing, loses its answers: so do real ones.
        if self.links.get(&link).is_some_and(|l| l.send(frame).is_err()) {
            warn!(node = self.life.name, "an answer could not be sent");
        }
    }
}
