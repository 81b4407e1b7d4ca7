//! The event loop around the host's core, with sockets, one timer and the clock. It passes events to [`Core`] and
//! carries out its outputs in their order. All decisions are made by the core.
//!
//! Each turn of the loop lets the core advance, carries out its outputs, waits for the next event, and passes that
//! to the core.

mod control_requests;
mod sockets;

use crate::control::{Control, LoopRequest, MAX_REQUESTERS};
use crate::core::{ConnectionId, Core, Counts, Input, Output};
use crate::stall_detector::StallDetector;
use control_requests::Requesters;
use gullsail_configuration::Deployment;
use gullsail_connections::LinkEvent;
use gullsail_scheduler_api::{HostId, Span};
pub use gullsail_timers::HostClock;
use sockets::{ConnectResult, Sockets};
use std::collections::BTreeSet;
use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::Instant;

/// How long clients that were asked to disconnect may stay connected once every request is answered.
const CLIENT_DISCONNECT_GRACE: Duration = Duration::from_secs(1);
/// The most events of connections that wait to be handled, most of them frames, over all connections. When the queue
/// is full, sockets are not read. The read budget bounds the bytes of waiting frames; this bounds their number.
const INBOX_FRAMES: usize = 1024;
/// The most requests of the control socket that wait for the loop.
const LOOP_REQUESTS: usize = MAX_REQUESTERS;
/// The most events of connections that are handled in one turn, before anything is sent.
const BATCH_FRAMES: usize = 256;
/// What a host's process starts with: its configuration, its identity and its clock.
#[derive(Clone, Debug)]
pub struct HostProcess {
    /// The configuration at the start.
    pub deployment: Arc<Deployment>,
    /// Id of this host in the configuration.
    pub host: HostId,
    /// Seed of the random generators of the scheduler and the host.
    pub seed: u64,
    /// Differs between processes of the same host.
    pub incarnation: u64,
    /// The clock that gives the times of the core's inputs and timers.
    pub clock: HostClock,
}

/// What ended a wait of the event loop.
enum WakeReason {
    Stop,
    Accepted(io::Result<TcpStream>),
    /// An attempt to connect ended; `None`: its task was cancelled.
    Connected(Option<ConnectResult>),
    /// Events of connections are in the batch.
    Frames,
    Control(LoopRequest),
    Timer,
    TaskEnded,
}

/// The state of the event loop.
struct Runtime {
    core: Core,
    clock: HostClock,
    /// Buffer for the core's outputs, kept for its capacity. It is empty between two turns.
    outputs: Vec<Output>,
    sockets: Sockets,
    requesters: Requesters,
    stall_detector: StallDetector,
    /// When the last wait ended.
    woken_at: Instant,
    stop_requested: bool,
    /// When the core's shutdown was complete; `None`: it is not.
    finished_at: Option<Instant>,
}

/// Runs a host. Once `stop` is ready, the host shuts down: it answers the requests that it accepted and leaves
/// the fleet. Then this returns the host's counters.
pub async fn run(
    process: HostProcess,
    listener: TcpListener,
    control: Option<Control>,
    stop: impl Future<Output = ()>,
) -> Counts {
    let (sink, mut inbox) = mpsc::channel(INBOX_FRAMES);
    let mut runtime = Runtime::new(process, listener, sink);
    let (to_loop, mut loop_requests) = mpsc::channel(LOOP_REQUESTS);
    if let Some(control) = control {
        runtime.sockets.tasks.spawn(control.serve(to_loop));
    }
    let mut batch = Vec::with_capacity(BATCH_FRAMES);
    tokio::pin!(stop);
    loop {
        let overfull = runtime.turn(inbox.is_empty());
        if runtime.may_exit() {
            return runtime.finish(loop_requests).await;
        }
        if !overfull.is_empty() {
            runtime.close_overfull(overfull);
            continue;
        }
        let wake_up_at = runtime.wake_up_at();
        let sockets = &mut runtime.sockets;
        let accept_from = sockets.accept_errors.accept_from();
        let woken = tokio::select! {
            () = &mut stop, if !runtime.stop_requested => WakeReason::Stop,
            accepted = sockets::accept(sockets.listener.as_ref(), accept_from) => WakeReason::Accepted(accepted),
            connected = sockets.connecting.join_next(), if !sockets.connecting.is_empty() => {
                WakeReason::Connected(connected.and_then(Result::ok))
            }
            _ = inbox.recv_many(&mut batch, BATCH_FRAMES) => WakeReason::Frames,
            Some(request) = loop_requests.recv() => WakeReason::Control(request),
            () = tokio::time::sleep_until(wake_up_at) => WakeReason::Timer,
            _ = sockets.tasks.join_next(), if !sockets.tasks.is_empty() => WakeReason::TaskEnded,
        };
        runtime.handle(woken, &mut batch);
    }
}

impl Runtime {
    fn new(
        process: HostProcess,
        listener: TcpListener,
        sink: mpsc::Sender<(ConnectionId, LinkEvent)>,
    ) -> Runtime {
        let now = Instant::now();
        let sockets = Sockets::new(&process.deployment, listener, sink, now);
        let max_incoming_connections = sockets::max_incoming_connections(&process.deployment);
        let clock = process.clock;
        let mut core = Core::new(
            process.deployment,
            process.host,
            process.seed,
            process.incarnation,
            clock.now(),
        );
        core.set_max_incoming_connections(max_incoming_connections);
        Runtime {
            core,
            clock,
            outputs: Vec::new(),
            sockets,
            requesters: Requesters::default(),
            stall_detector: StallDetector::new(now),
            woken_at: now,
            stop_requested: false,
            finished_at: None,
        }
    }

    /// Records how long the loop worked since the last wait. Returns when the next wait must end at the latest.
    fn wake_up_at(&mut self) -> Instant {
        self.core.record_step_time(to_span(self.woken_at.elapsed()));
        let requested = self.core.next_wake_up().map(|at| self.clock.to_runtime(at));
        self.stall_detector.next_turn(requested)
    }

    /// Whether the core's shutdown is complete, and either no client is connected any more or
    /// [`CLIENT_DISCONNECT_GRACE`] has passed since.
    fn may_exit(&self) -> bool {
        let Some(finished_at) = self.finished_at else {
            return false;
        };
        let elapsed = finished_at.elapsed();
        let clients_left = self.core.client_connections().is_empty();
        clients_left || elapsed >= CLIENT_DISCONNECT_GRACE
    }

    /// Closes all connections but those of clients. The core has left the fleet and no request is open, so frames
    /// from nodes and peers are of no use.
    fn keep_clients_only(&mut self) {
        let clients: BTreeSet<ConnectionId> = self.core.client_connections().into_iter().collect();
        self.sockets.links.retain(|link, _| clients.contains(link));
        self.sockets.connecting.abort_all();
    }

    /// Answers the operators that still wait, writes queued frames, and ends all tasks. Returns the counters.
    async fn finish(mut self, mut loop_requests: mpsc::Receiver<LoopRequest>) -> Counts {
        loop_requests.close();
        while let Ok(request) = loop_requests.try_recv() {
            self.control_request(request);
        }
        self.turn(true);
        let Runtime {
            core,
            sockets,
            requesters,
            ..
        } = self;
        // A requester that still waits is told that this host is leaving.
        drop(requesters);
        sockets.finish().await;
        core.counts().clone()
    }

    /// Lets the core advance and carries out its outputs. Returns the connections whose write queues are full.
    fn turn(&mut self, inbox_empty: bool) -> Vec<ConnectionId> {
        if let Some(interval) = self.stall_detector.record_turn(Instant::now(), inbox_empty) {
            self.core.record_stall(to_span(interval));
        }
        // After a stall, everything that arrived during it is read first. The core must not decide by its state
        // before the stall.
        if self.stall_detector.settling() {
            return Vec::new();
        }
        self.core.advance(self.clock.now());
        let mut overfull = Vec::new();
        let mut outputs = std::mem::take(&mut self.outputs);
        loop {
            outputs.extend(self.core.outputs());
            if outputs.is_empty() {
                break;
            }
            for output in outputs.drain(..) {
                self.carry_out(output, &mut overfull);
            }
        }
        self.outputs = outputs;
        overfull
    }

    fn carry_out(&mut self, output: Output, overfull: &mut Vec<ConnectionId>) {
        match output {
            Output::Send { link, frame, until } => {
                let until = until.map(|until| self.clock.to_runtime(until));
                let open = self.sockets.links.get(&link);
                if open.is_some_and(|open| open.send_by(frame, until).is_err()) {
                    overfull.push(link);
                }
            }
            Output::Reading { link, on } => {
                if let Some(open) = self.sockets.links.get(&link) {
                    open.set_reading(on);
                }
            }
            // Once the shutdown is complete, a new connection is of no use.
            Output::Connect { .. } if self.finished_at.is_some() => {}
            Output::Connect { link, address } => self.sockets.connect(link, address),
            Output::Close { link } => self.sockets.close(link),
            Output::ProposalDecided { requester, outcome } => {
                self.requesters.proposal_decided(requester, outcome);
            }
            Output::CommandOutcome { requester, outcome } => {
                self.requesters.command_finished(requester, outcome);
            }
            Output::StopListening => self.stop_listening(),
            Output::Finished => {
                self.finished_at = Some(Instant::now());
                self.keep_clients_only();
            }
        }
    }

    /// Closes connections whose write queues are full because the other side reads too slowly.
    fn close_overfull(&mut self, overfull: Vec<ConnectionId>) {
        for link in overfull {
            if self.sockets.links.remove(&link).is_some() {
                let reason = "write queue full: peer reads too slowly".into();
                self.core
                    .handle(self.clock.now(), Input::Closed(link, reason));
            }
        }
    }

    fn handle(&mut self, woken: WakeReason, batch: &mut Vec<(ConnectionId, LinkEvent)>) {
        self.woken_at = Instant::now();
        match woken {
            WakeReason::Stop => {
                self.stop_requested = true;
                self.core.handle(self.clock.now(), Input::Stop);
            }
            WakeReason::Accepted(accepted) => self.accepted(accepted),
            WakeReason::Connected(connected) => self.connected(connected),
            WakeReason::Frames => self.handle_frames(batch),
            WakeReason::Control(request) => self.control_request(request),
            WakeReason::Timer | WakeReason::TaskEnded => {}
        }
    }

    fn handle_frames(&mut self, batch: &mut Vec<(ConnectionId, LinkEvent)>) {
        if let Some(interval) = self.stall_detector.record_turn(self.woken_at, false) {
            self.core.record_stall(to_span(interval));
        }
        let now = self.clock.now();
        let waited = self.stall_detector.max_wait(self.woken_at).map(to_span);
        for (id, event) in batch.drain(..) {
            let input = match event {
                LinkEvent::Frame(frame) => {
                    self.sockets.read_budget.give_back(frame.len());
                    match waited {
                        Some(waited) => Input::DelayedFrame(id, frame, waited),
                        None => Input::Frame(id, frame),
                    }
                }
                LinkEvent::Written(bytes) => Input::Written(id, bytes),
                LinkEvent::Closed(reason) => {
                    self.sockets.links.remove(&id);
                    Input::Closed(id, reason)
                }
            };
            self.core.handle(now, input);
        }
    }
}

fn to_span(duration: Duration) -> Span {
    Span::from_micros(i64::try_from(duration.as_micros()).unwrap_or(i64::MAX))
}
