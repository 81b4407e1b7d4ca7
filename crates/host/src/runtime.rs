//! The thin layer around the host's core: sockets, one timer, the clock. Whatever happens is handed to
//! [`Core`], whatever it puts out is carried out in its order; nothing is decided here.
//!
//! Each turn of the loop: let the core advance, carry out its outputs, wait for the next thing to happen,
//! hand it over.

mod control_requests;
mod sockets;

use crate::control::{Control, LoopRequest};
use crate::core::{Core, Counts, Input, LinkId, Output};
use crate::stall_detector::StallDetector;
use control_requests::Requesters;
use gullsail_configuration::Deployment;
use gullsail_connections::{Link, LinkEvent, ReadLimits, Room};
use gullsail_scheduler_api::{HostId, Span};
pub use gullsail_timers::HostClock;
use sockets::AcceptErrors;
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::Instant;

/// For a last answer to an operator, of some hundred bytes on a local socket.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(20);
/// Frames that wait to be handled, over all connections; then sockets are not read.
const INBOX_FRAMES: usize = 1024;
/// Requesters on the control socket: one is served at a time, and each sends at most two requests to the
/// loop.
const LOOP_REQUESTS: usize = 2;
/// Frames that are handled together before anything is sent.
const BATCH_FRAMES: usize = 256;

/// Which host this is, and in which process.
#[derive(Clone, Debug)]
pub struct HostProcess {
    /// The configuration to begin with.
    pub deployment: Arc<Deployment>,
    /// Which of its hosts this is.
    pub me: HostId,
    /// For the scheduler's and the host's random choices.
    pub seed: u64,
    /// Another one for each process.
    pub incarnation: u64,
    /// The host's clock.
    pub clock: HostClock,
}

/// What ended a wait.
enum Woken {
    Stop,
    Accepted(io::Result<TcpStream>),
    /// A connection attempt ended.
    Connected(Option<(LinkId, io::Result<TcpStream>)>),
    /// Frames are in the batch.
    Frames,
    Control(LoopRequest),
    Timer,
    TaskEnded,
}

/// The loop's own state.
struct Runtime {
    core: Core,
    clock: HostClock,
    /// Empty between two turns.
    outputs: Vec<Output>,
    /// For frames that wait to be handled.
    room: Room,
    limits: ReadLimits,
    incoming_limits: ReadLimits,
    sink: mpsc::Sender<(LinkId, LinkEvent)>,
    links: BTreeMap<LinkId, Link>,
    tasks: JoinSet<()>,
    connecting: JoinSet<(LinkId, io::Result<TcpStream>)>,
    connect_tasks: BTreeMap<LinkId, AbortHandle>,
    /// `None`: the host stops.
    listener: Option<TcpListener>,
    accept_errors: AcceptErrors,
    requesters: Requesters,
    stall: StallDetector,
    /// When the last wait ended.
    woken_at: Instant,
    finished: bool,
}

/// Serves until `stop` is ready and all that was accepted is answered.
pub async fn run(
    process: HostProcess,
    listener: TcpListener,
    control: Option<Control>,
    stop: impl Future<Output = ()>,
) -> Counts {
    let (sink, mut inbox) = mpsc::channel(INBOX_FRAMES);
    let mut runtime = Runtime::new(process, listener, sink);
    let (to_loop, mut loop_requests) = mpsc::channel(LOOP_REQUESTS);
    let control = control.map(|control| runtime.tasks.spawn(control.serve(to_loop)));
    let mut batch = Vec::with_capacity(BATCH_FRAMES);
    tokio::pin!(stop);
    loop {
        let overfull = runtime.turn(inbox.is_empty());
        if runtime.finished {
            // The last answers are written before the end, for requesters that wait for one.
            tokio::time::sleep(LAST_ANSWER_TIME).await;
            sockets::finish(runtime.links, &mut runtime.tasks).await;
            if let Some(task) = control {
                task.abort();
            }
            return runtime.core.counts().clone();
        }
        if !overfull.is_empty() {
            runtime.close_overfull(overfull);
            continue;
        }
        runtime.core.worked(to_span(runtime.woken_at.elapsed()));
        let requested = runtime.core.next_wake_up().map(|at| runtime.clock.at(at));
        let wake_up_at = runtime.stall.next_turn(requested);
        let accept_from = runtime.accept_errors.accept_from();
        let woken = tokio::select! {
            () = &mut stop, if runtime.listener.is_some() => Woken::Stop,
            accepted = sockets::accept(runtime.listener.as_ref(), accept_from) => Woken::Accepted(accepted),
            connected = runtime.connecting.join_next(), if !runtime.connecting.is_empty() => {
                Woken::Connected(connected.and_then(Result::ok))
            }
            _ = inbox.recv_many(&mut batch, BATCH_FRAMES) => Woken::Frames,
            Some(request) = loop_requests.recv() => Woken::Control(request),
            () = tokio::time::sleep_until(wake_up_at) => Woken::Timer,
            _ = runtime.tasks.join_next(), if !runtime.tasks.is_empty() => Woken::TaskEnded,
        };
        runtime.handle(woken, &mut batch);
    }
}

impl Runtime {
    fn new(
        process: HostProcess,
        listener: TcpListener,
        sink: mpsc::Sender<(LinkId, LinkEvent)>,
    ) -> Runtime {
        let HostProcess {
            deployment,
            me,
            seed,
            incarnation,
            clock,
        } = process;
        let bounds = deployment.bounds.frame;
        // Frames that wait to be handled: a part of what may be held, and at least one of the largest.
        let room = Room::new((deployment.bounds.most_held / 4).max(bounds.message + bounds.body));
        let max_incoming_links = sockets::max_incoming_links(&deployment);
        let stall_limit =
            Duration::from_micros(deployment.bounds.client_stall.micros().max(0) as u64);
        let incoming_room = room.of_strangers(stall_limit);
        let mut core = Core::new(deployment, me, seed, incarnation, clock.now());
        core.set_max_incoming_links(max_incoming_links);
        let now = Instant::now();
        Runtime {
            core,
            clock,
            outputs: Vec::new(),
            limits: ReadLimits {
                bounds,
                room: Some(room.clone()),
            },
            incoming_limits: ReadLimits {
                bounds,
                room: Some(incoming_room),
            },
            room,
            sink,
            links: BTreeMap::new(),
            tasks: JoinSet::new(),
            connecting: JoinSet::new(),
            connect_tasks: BTreeMap::new(),
            listener: Some(listener),
            accept_errors: AcceptErrors::new(now),
            requesters: Requesters::default(),
            stall: StallDetector::new(now),
            woken_at: now,
            finished: false,
        }
    }

    /// Lets the core advance and carries out its outputs; returns connections whose queues are full.
    fn turn(&mut self, inbox_empty: bool) -> Vec<LinkId> {
        if let Some(interval) = self.stall.turn(Instant::now(), inbox_empty) {
            self.core.stalled(to_span(interval));
        }
        // After a stall, what came in meanwhile is read before anything is decided on what is known from
        // before.
        if self.stall.settling() {
            return Vec::new();
        }
        self.core.advance(self.clock.now());
        let mut outputs = std::mem::take(&mut self.outputs);
        outputs.extend(self.core.outputs());
        let mut overfull = Vec::new();
        for output in outputs.drain(..) {
            self.carry_out(output, &mut overfull);
        }
        self.outputs = outputs;
        overfull
    }

    fn carry_out(&mut self, output: Output, overfull: &mut Vec<LinkId>) {
        match output {
            Output::Send { link, frame, until } => {
                let until = until.map(|until| self.clock.at(until));
                if self
                    .links
                    .get(&link)
                    .is_some_and(|l| l.send_by(frame, until).is_err())
                {
                    overfull.push(link);
                }
            }
            Output::Reading { link, on } => {
                if let Some(l) = self.links.get(&link) {
                    l.reading(on);
                }
            }
            Output::Connect { link, address } => self.connect(link, address),
            Output::Close { link } => self.close(link),
            Output::ProposalDecided { requester, outcome } => {
                self.requesters.proposal_decided(requester, outcome);
            }
            Output::CommandOutcome { requester, outcome } => {
                self.requesters.command_finished(requester, outcome);
            }
            Output::Finished => self.finished = true,
        }
    }

    /// Connections whose other side takes nothing of what is sent.
    fn close_overfull(&mut self, overfull: Vec<LinkId>) {
        for link in overfull {
            if self.links.remove(&link).is_some() {
                let why = "takes nothing of what is sent".into();
                self.core.handle(self.clock.now(), Input::Closed(link, why));
            }
        }
    }

    fn handle(&mut self, woken: Woken, batch: &mut Vec<(LinkId, LinkEvent)>) {
        self.woken_at = Instant::now();
        match woken {
            Woken::Stop => {
                self.listener = None;
                self.core.handle(self.clock.now(), Input::Stop);
            }
            Woken::Accepted(accepted) => self.accepted(accepted),
            Woken::Connected(connected) => self.connected(connected),
            Woken::Frames => self.frames(batch),
            Woken::Control(request) => self.control_request(request),
            Woken::Timer | Woken::TaskEnded => {}
        }
    }

    fn frames(&mut self, batch: &mut Vec<(LinkId, LinkEvent)>) {
        if let Some(interval) = self.stall.turn(self.woken_at, false) {
            self.core.stalled(to_span(interval));
        }
        let now = self.clock.now();
        let waited = self.stall.waited(self.woken_at).map(to_span);
        for (id, happened) in batch.drain(..) {
            let input = match happened {
                LinkEvent::Frame(frame) => {
                    self.room.give_back(frame.len());
                    match waited {
                        Some(waited) => Input::DelayedFrame(id, frame, waited),
                        None => Input::Frame(id, frame),
                    }
                }
                LinkEvent::Written(bytes) => Input::Written(id, bytes),
                LinkEvent::Closed(why) => {
                    self.links.remove(&id);
                    Input::Closed(id, why)
                }
            };
            self.core.handle(now, input);
        }
    }
}

fn to_span(duration: Duration) -> Span {
    Span::from_micros(i64::try_from(duration.as_micros()).unwrap_or(i64::MAX))
}
