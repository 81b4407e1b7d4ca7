//! A relay stands on a socket: who would connect to a process connects to it instead. It records each frame
//! with its time and passes it on, or does to it what it was told: delays, drops, cuts, half-closes, swaps
//! peer messages, turns answers into errors.

use gullsail_connections::{Link, LinkEvent};
use gullsail_protocol::record::{Delivery, Entry, ProcessEvent, What};
use gullsail_protocol::{AttemptAnswer, AttemptResult, Bounds, Frame, Message};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::io::Write;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Done to frames on links between two names, for some time. A name may be `*`.
#[derive(Clone, Debug)]
pub struct Disturbance {
    /// The sender, or `*`.
    pub from: String,
    /// The receiver, or `*`.
    pub to: String,
    /// When it ends.
    pub until: Instant,
    /// What is done.
    pub what: DisturbanceKind,
}

/// What the proxy does to frames or connections for a while.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DisturbanceKind {
    /// Frames take so much longer.
    Delay(Duration),
    /// Demand reports between hosts are lost, this part of them.
    LoseDemandReports(f64),
    /// Two demand reports in a row change places.
    SwapDemandReports,
    /// New connections end at once.
    Refuse,
    /// New connections are accepted and nothing comes of them.
    Silent,
    /// This part of the attempts' answers become errors.
    Errors(f64),
    /// This part of the frames is lost, with no sign of it.
    Lose(f64),
    /// Each frame is the last of its direction with this chance; the other direction goes on.
    HalfClose(f64),
    /// Each frame breaks its connection with this chance.
    Reset(f64),
    /// This part of what hosts tell each other comes twice.
    Repeat(f64),
}

/// What all relays of one run share: the clock, the recording, what is done to frames.
pub struct Wire {
    began: Instant,
    wall: SystemTime,
    inner: Mutex<Inner>,
    cut: watch::Sender<(u64, String, String)>,
}

struct Inner {
    disturbances: Vec<Disturbance>,
    recording: Option<Box<dyn Write + Send>>,
    last_link: u64,
    rng: ChaCha8Rng,
}

impl Wire {
    /// Records into `recording`, one entry a line.
    pub fn new(seed: u64, recording: Option<Box<dyn Write + Send>>) -> Arc<Wire> {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let inner = Inner {
            disturbances: Vec::new(),
            recording,
            last_link: 0,
            rng,
        };
        let cut = watch::Sender::new((0, String::new(), String::new()));
        Arc::new(Wire {
            began: Instant::now(),
            wall: SystemTime::now(),
            inner: Mutex::new(inner),
            cut,
        })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Microseconds since the recording began.
    pub fn now(&self) -> i64 {
        self.began.elapsed().as_micros() as i64
    }

    /// Adds a disturbance until its end.
    pub fn disturb(&self, d: Disturbance) {
        let mut inner = self.lock();
        inner.disturbances.retain(|d| d.until > Instant::now());
        inner.disturbances.push(d);
    }

    /// Breaks all connections between two names now.
    pub fn cut(&self, from: &str, to: &str) {
        self.cut
            .send_modify(|c| *c = (c.0 + 1, from.into(), to.into()));
    }

    /// Writes an entry of the script about the process called `name`.
    pub fn record(&self, name: &str, what: What) {
        let at = self.now();
        self.write_entry(Entry {
            at,
            out: at,
            link: 0,
            from: "script".into(),
            to: name.into(),
            what,
        });
    }

    /// Of what a process of this machine wrote down itself, with the machine's time.
    pub fn record_at(&self, name: &str, when: SystemTime, what: What) {
        let at = when
            .duration_since(self.wall)
            .map_or(0, |since| since.as_micros() as i64);
        self.write_entry(Entry {
            at,
            out: at,
            link: 0,
            from: "script".into(),
            to: name.into(),
            what,
        });
    }

    /// `at` 0: it was there before the run began.
    pub fn process(&self, name: &str, at: i64, incarnation: ProcessEvent) {
        let what = What::Process { event: incarnation };
        self.write_entry(Entry {
            at,
            out: at,
            link: 0,
            from: "script".into(),
            to: name.into(),
            what,
        });
    }

    fn write_entry(&self, entry: Entry) {
        if let Some(recording) = &mut self.lock().recording {
            // A recording that can't be written is found by its reader: the audit counts what it holds.
            if let Ok(line) = serde_json::to_string(&entry) {
                let _ = writeln!(recording, "{line}");
            }
        }
    }

    /// Writes out what is recorded so far.
    ///
    /// # Errors
    /// The recording's own.
    pub fn flush(&self) -> std::io::Result<()> {
        self.lock().recording.as_mut().map_or(Ok(()), |r| r.flush())
    }

    fn disturbances(&self, from: &str, to: &str) -> Vec<DisturbanceKind> {
        let now = Instant::now();
        let fits = |d: &&Disturbance| {
            d.until > now && (d.from == "*" || d.from == from) && (d.to == "*" || d.to == to)
        };
        self.lock()
            .disturbances
            .iter()
            .filter(fits)
            .map(|d| d.what)
            .collect()
    }

    /// Whether no connection to this process may come about now; where it is to be silent, only after a
    /// while. Who connects is not known yet: disturbances that name it can't meet it here.
    async fn turns_away(&self, name: &str) -> bool {
        let disturbances = self.disturbances("*", name);
        if disturbances.contains(&DisturbanceKind::Refuse) {
            return true;
        }
        let silent = disturbances.contains(&DisturbanceKind::Silent);
        if silent {
            tokio::time::sleep(Duration::from_secs(5)).await;
        }
        silent
    }

    fn next_link(&self) -> u64 {
        let mut inner = self.lock();
        inner.last_link += 1;
        inner.last_link
    }

    fn chance(&self, part: f64) -> bool {
        self.lock().rng.random_bool(part.clamp(0.0, 1.0))
    }
}

/// Listens for those who want to reach `name` and passes them on to wherever `target` says it runs
/// now; goes on until its task is dropped.
pub async fn relay(
    wire: Arc<Wire>,
    name: String,
    listener: TcpListener,
    target: watch::Receiver<Option<String>>,
) {
    let mut links = JoinSet::new();
    loop {
        tokio::select! {
            came = listener.accept() => if let Ok((stream, _)) = came {
                let (at, to) = (wire.now(), name.clone());
                wire.write_entry(Entry { at, out: at, link: 0, from: "?".into(), to, what: What::Came });
                let address = target.borrow().clone();
                links.spawn(pass(wire.clone(), name.clone(), stream, address));
            },
            _ = links.join_next(), if !links.is_empty() => {}
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Side {
    Dialler,
    Target,
}

/// One direction of a connection: what is on its way.
#[derive(Default)]
struct Way {
    queue: VecDeque<(Instant, Entry, Frame)>,
    held: Option<(Entry, Frame)>,
    /// Half-closed: nothing more enters.
    ended: bool,
}

/// Whether a cut between `a` and `b`, names or `*`, meets the connection of these two.
fn between(a: &str, b: &str, from: &str, name: &str) -> bool {
    let is = |pattern: &str, name: &str| pattern == "*" || pattern == name;
    (is(a, from) && is(b, name)) || (is(a, name) && is(b, from))
}

/// Sends what is due each way; `false`: one side takes nothing.
fn forward_due(wire: &Wire, now: Instant, sides: [(&mut Way, &mut Link); 2]) -> bool {
    let mut full = false;
    for (way, to) in sides {
        while let Some((_, mut entry, frame)) = way.queue.pop_front_if(|w| w.0 <= now) {
            entry.out = wire.now();
            // Recorded before it goes out: nobody can have answered it by then.
            wire.write_entry(entry);
            full |= to.send(frame).is_err() && !way.ended;
        }
        if way.ended && way.queue.is_empty() {
            to.finish();
        }
    }
    !full
}

fn flush(wire: &Wire, way: Way, to: &Link) {
    for (_, entry, frame) in way.queue {
        wire.write_entry(entry);
        let _ = to.send(frame);
    }
}

/// Lets the tasks of both connections write what they still hold.
async fn linger(mut tasks: JoinSet<()>) {
    let all = async { while tasks.join_next().await.is_some() {} };
    let _ = tokio::time::timeout(gullsail_connections::LINGER * 2, all).await;
}

/// Which way a frame goes, by the side that sent it.
struct Directions {
    there: Way,
    back: Way,
    /// The name of whoever opened the connection, once it is known.
    from: String,
    /// The name of the process that it was opened to.
    to: String,
}

impl Directions {
    fn next_due(&self) -> Option<Instant> {
        let fronts = [&self.there, &self.back].into_iter();
        let due = fronts.filter_map(|way| way.queue.front().map(|queued| queued.0));
        due.min()
    }

    /// Takes in a frame from one side; `false`: the connection breaks.
    fn take_in(&mut self, wire: &Wire, link: u64, side: Side, frame: Frame) -> bool {
        if let (Side::Dialler, Message::Hello(hello)) = (side, &frame.message) {
            self.from = hello.name.clone();
        }
        match side {
            Side::Dialler => enter(wire, &mut self.there, link, &self.from, &self.to, frame),
            Side::Target => enter(wire, &mut self.back, link, &self.to, &self.from, frame),
        }
    }
}

async fn pass(wire: Arc<Wire>, name: String, stream: TcpStream, address: Option<String>) {
    if wire.turns_away(&name).await {
        return;
    }
    let Some(address) = address else { return };
    let Ok(other) = TcpStream::connect(address).await else {
        return;
    };
    let (sink, mut inbox) = mpsc::channel(256);
    let mut tasks = JoinSet::new();
    let mut open =
        |stream, side| Link::open(stream, side, Bounds::DEFAULT, 16_384, &sink, &mut tasks);
    let mut initiator = open(stream, Side::Dialler);
    let mut target = open(other, Side::Target);
    let link = wire.next_link();
    let mut cuts = wire.cut.subscribe();
    cuts.mark_unchanged();
    let mut ways = Directions {
        there: Way::default(),
        back: Way::default(),
        from: "?".into(),
        to: name,
    };
    let why = loop {
        let now = Instant::now();
        let sides = [
            (&mut ways.there, &mut target),
            (&mut ways.back, &mut initiator),
        ];
        if !forward_due(&wire, now, sides) {
            break "one side does not read".to_string();
        }
        let next_wakeup = ways.next_due().unwrap_or(now + Duration::from_secs(3600));
        tokio::select! {
            Some((side, happened)) = inbox.recv() => match happened {
                LinkEvent::Frame(frame) => if !ways.take_in(&wire, link, side, frame) {
                    break "broken on purpose".into();
                },
                LinkEvent::Closed(why) => break why,
                LinkEvent::Written(_) => {}
            },
            _ = cuts.changed() => {
                let (_, a, b) = cuts.borrow_and_update().clone();
                if between(&a, &b, &ways.from, &ways.to) {
                    break "cut on purpose".into();
                }
            }
            () = tokio::time::sleep_until(next_wakeup) => {}
        }
    };
    record_close(&wire, link, &ways, why);
    // What was on its way when one side closed still arrives.
    flush(&wire, ways.there, &target);
    flush(&wire, ways.back, &initiator);
    drop((initiator, target));
    linger(tasks).await;
}

fn record_close(wire: &Wire, link: u64, ways: &Directions, why: String) {
    let at = wire.now();
    wire.write_entry(Entry {
        at,
        out: at,
        link,
        from: ways.from.clone(),
        to: ways.to.clone(),
        what: What::Closed { why },
    });
}

/// What the disturbances make of one frame.
struct Disturbed {
    frame: Frame,
    due: Instant,
    delivery: Delivery,
    /// It changes places with the next one.
    swap: bool,
    /// It is the last of its direction.
    ends: bool,
    /// It arrives twice.
    twice: bool,
}

/// A frame on its way from one process to another.
struct Passage<'a> {
    wire: &'a Wire,
    link: u64,
    from: &'a str,
    to: &'a str,
    at: i64,
}

impl Passage<'_> {
    fn entry(&self, delivery: Delivery, frame: &Frame) -> Entry {
        let what = What::Frame {
            message: frame.message.clone(),
            body: frame.body.len(),
            delivery,
        };
        Entry {
            at: self.at,
            out: self.at,
            link: self.link,
            from: self.from.into(),
            to: self.to.into(),
            what,
        }
    }

    /// Applies the disturbances in force; `None`: the connection breaks.
    fn disturb(&self, frame: Frame) -> Option<Disturbed> {
        let wire = self.wire;
        let is_demand_report = matches!(frame.message, Message::DemandReport(_));
        let is_fleet_message = matches!(
            frame.message,
            Message::Reached(_) | Message::FleetMessage(_)
        );
        let between_hosts = is_demand_report || is_fleet_message;
        let mut disturbed = Disturbed {
            frame,
            due: Instant::now(),
            delivery: Delivery::Passed,
            swap: false,
            ends: false,
            twice: false,
        };
        for disturbance in wire.disturbances(self.from, self.to) {
            match disturbance {
                DisturbanceKind::Delay(by) => disturbed.due += by,
                DisturbanceKind::Lose(part) if wire.chance(part) => {
                    disturbed.delivery = Delivery::Dropped
                }
                DisturbanceKind::HalfClose(part) if wire.chance(part) => disturbed.ends = true,
                DisturbanceKind::LoseDemandReports(part)
                    if is_demand_report && wire.chance(part) =>
                {
                    disturbed.delivery = Delivery::Dropped
                }
                DisturbanceKind::SwapDemandReports if is_demand_report => disturbed.swap = true,
                DisturbanceKind::Reset(part) if wire.chance(part) => return None,
                DisturbanceKind::Repeat(part) if between_hosts && wire.chance(part) => {
                    disturbed.twice = true
                }
                DisturbanceKind::Errors(part) => self.turn_into_error(part, &mut disturbed),
                _ => {}
            }
        }
        Some(disturbed)
    }

    /// Turns a response that succeeded into an error, with this chance.
    fn turn_into_error(&self, part: f64, disturbed: &mut Disturbed) {
        let Message::AttemptAnswer(answer) = &disturbed.frame.message else {
            return;
        };
        if answer.result != AttemptResult::Succeeded as i32 || !self.wire.chance(part) {
            return;
        }
        let altered = AttemptAnswer {
            result: AttemptResult::Failed as i32,
            reason: "turned into an error on the way".into(),
            handle: None,
            ..answer.clone()
        };
        disturbed.delivery = Delivery::Altered;
        let entry = self.entry(Delivery::Altered, &disturbed.frame);
        self.wire.write_entry(entry);
        disturbed.frame = Frame::from(altered);
    }
}

/// Queues a frame as the disturbances have it; `false`: the connection breaks.
fn enter(wire: &Wire, way: &mut Way, link: u64, from: &str, to: &str, frame: Frame) -> bool {
    let passage = Passage {
        wire,
        link,
        from,
        to,
        at: wire.now(),
    };
    if way.ended {
        wire.write_entry(passage.entry(Delivery::Dropped, &frame));
        return true;
    }
    let Some(disturbed) = passage.disturb(frame) else {
        return false;
    };
    way.ended = disturbed.ends;
    // Order holds within a connection, whatever the delay of each frame.
    let last_due = way.queue.back().map(|last| last.0);
    let due = last_due.map_or(disturbed.due, |last| disturbed.due.max(last));
    let frame = disturbed.frame;
    if disturbed.delivery == Delivery::Dropped {
        wire.write_entry(passage.entry(Delivery::Dropped, &frame));
        return true;
    }
    let passed = passage.entry(Delivery::Passed, &frame);
    if disturbed.swap && way.held.is_none() {
        way.held = Some((passed, frame));
        return true;
    }
    if disturbed.twice {
        way.queue.push_back((due, passed.clone(), frame.clone()));
    }
    way.queue.push_back((due, passed, frame));
    if let Some((held, frame)) = way.held.take() {
        way.queue.push_back((due, held, frame));
    }
    true
}
