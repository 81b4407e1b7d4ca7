//! The thin part of the host: sockets, one timer, the clock. Whatever happens is handed to [`Core`], whatever
//! it asks for is done; nothing is decided here.

use crate::control::{Control, State, ToLoop};
use crate::core::changes::Reply;
use crate::core::maintenance::CommandOutcome;
use crate::core::{Core, Counts, Input, LinkId, Output};
use crate::still::Still;
use gullsail_configuration::Deployment;
use gullsail_connections::{Happened, Link, Room};
use gullsail_scheduler_api::{HostId, Span};
pub use gullsail_timers::HostClock;
use nix::sys::resource::{Resource, getrlimit};
use std::collections::BTreeMap;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{AbortHandle, JoinSet};
use tracing::{info, warn};

/// For a last answer to an operator, of some hundred bytes on a local socket.
const ANSWERS: std::time::Duration = std::time::Duration::from_millis(20);
/// Frames that wait to be handled, over all links; then sockets are not read.
const INBOX: usize = 1024;
/// Frames that wait to be written to one link; a link on which more pile up is ended.
const OUTBOX: usize = 16_384;
/// Descriptors kept back for the process itself: standard streams, listener, control socket and its asker, a document that
/// is read, the runtime's own.
const OWN: usize = 24;
/// Between tries to accept while that fails, and between lines in the log that say so.
const ACCEPT_AGAIN: Duration = Duration::from_millis(50);
const SAY_AGAIN: Duration = Duration::from_secs(5);
/// Askers on the control socket: one is heard at a time, and each asks twice.
const ASKS: usize = 2;
/// Handled together before anything is sent.
const BATCH: usize = 256;

/// Which host this is, and in which process.
#[derive(Clone, Debug)]
pub struct HostProcess {
    pub deployment: Arc<Deployment>,
    pub me: HostId,
    pub seed: u64,
    pub incarnation: u64,
    pub clock: HostClock,
}

/// How many connections others may open, of so many descriptors: nodes, peers and the list come first, twice over since
/// they may be replaced and connect anew; a quarter is left to others in any case.
fn for_others(descriptors: usize, d: &Deployment) -> usize {
    let kept = OWN + 2 * (d.nodes.len() + d.hosts.len() + 1);
    let left = descriptors.saturating_sub(kept);
    if left < descriptors / 4 {
        warn!(descriptors, kept, "few file descriptors for this document: raise the limit");
    }
    left.max(descriptors / 4)
}

/// Serves until `stop` is ready and all that was taken is answered.
pub async fn run(
    process: HostProcess,
    listener: TcpListener,
    control: Option<Control>,
    stop: impl Future<Output = ()>,
) -> Counts {
    let HostProcess { deployment, me, seed, incarnation, clock } = process;
    let bounds = deployment.bounds.frame;
    // Frames that wait to be handled: a part of what may be held, and at least one of the largest.
    let room = Room::new((deployment.bounds.most_held / 4).max(bounds.message + bounds.body));
    let descriptors = getrlimit(Resource::RLIMIT_NOFILE).map_or(usize::MAX, |(soft, _)| soft as usize);
    let for_others = for_others(descriptors, &deployment);
    let still = Duration::from_micros(deployment.bounds.client_stall.micros().max(0) as u64);
    let (within, of_others) = ((bounds, Some(room.clone())), (bounds, Some(room.of_strangers(still))));
    let mut core = Core::new(deployment, me, seed, incarnation, clock.now());
    core.set_most_links(for_others);
    let (sink, mut inbox) = mpsc::channel(INBOX);
    let mut links: BTreeMap<LinkId, Link> = BTreeMap::new();
    let mut tasks = JoinSet::new();
    let mut dials: JoinSet<(LinkId, std::io::Result<TcpStream>)> = JoinSet::new();
    let mut dialling: BTreeMap<LinkId, AbortHandle> = BTreeMap::new();
    let mut batch = Vec::with_capacity(BATCH);
    let (mut listener, mut left) = (Some(listener), false);
    let mut accept_from = tokio::time::Instant::now();
    let (mut say_from, mut unsaid) = (accept_from, 0u64);
    let (to_loop, mut asks) = mpsc::channel(ASKS);
    let mut askers: BTreeMap<u64, oneshot::Sender<Reply>> = BTreeMap::new();
    let mut wording: BTreeMap<u64, oneshot::Sender<CommandOutcome>> = BTreeMap::new();
    let mut last_asker = 0;
    let control = control.map(|control| tasks.spawn(control.serve(to_loop)));
    tokio::pin!(stop);
    let mut woke = tokio::time::Instant::now();
    let mut still = Still::new(woke);
    loop {
        if let Some(span) = still.look(tokio::time::Instant::now(), inbox.is_empty()) {
            core.stood_still(micros(span));
        }
        // What came in meanwhile is heard before anything is decided on what is known from before.
        if !still.settling() {
            core.advance(clock.now());
        }
        let mut full = Vec::new();
        let outputs = if still.settling() { None } else { Some(core.outputs()) };
        for output in outputs.into_iter().flatten() {
            match output {
                Output::Send { link, frame, until } => {
                    let until = until.map(|until| clock.at(until));
                    if links.get(&link).is_some_and(|l| l.send_by(frame, until).is_err()) {
                        full.push(link);
                    }
                }
                Output::Reading { link, on } => {
                    if let Some(l) = links.get(&link) {
                        l.reading(on);
                    }
                }
                Output::Dial { link, address } => {
                    let dial = dials.spawn(async move { (link, TcpStream::connect(&address).await) });
                    dialling.insert(link, dial);
                }
                Output::Close { link } => {
                    links.remove(&link);
                    if let Some(dial) = dialling.remove(&link) {
                        dial.abort();
                    }
                }
                Output::Replied { asker, reply } => {
                    // It may have left meanwhile.
                    let _ = askers.remove(&asker).map(|a| a.send(reply));
                }
                Output::CommandOutcome { asker, said } => _ = wording.remove(&asker).map(|a| a.send(said)),
                Output::Left => left = true,
            }
        }
        if left {
            // Whoever was answered just now has it written before the end; then it waits for askers, and not for the end.
            tokio::time::sleep(ANSWERS).await;
            leave(links, &mut tasks).await;
            control.into_iter().for_each(|task| task.abort());
            return core.counts().clone();
        }
        if !full.is_empty() {
            for link in full {
                if links.remove(&link).is_some() {
                    core.handle(clock.now(), Input::Closed(link, "takes nothing of what is sent".into()));
                }
            }
            continue;
        }
        core.worked(micros(woke.elapsed()));
        let wake = still.wake(core.next_timer().map(|at| clock.at(at)));
        tokio::select! {
            () = &mut stop, if listener.is_some() => {
                woke = tokio::time::Instant::now();
                listener = None;
                core.handle(clock.now(), Input::Stop);
            }
            came = accept(listener.as_ref(), accept_from) => match came {
                Ok((stream, _)) => {
                    woke = tokio::time::Instant::now();
                    // The core's first frame to it is among its outputs, so the link must stand before those.
                    if let Some(id) = core.accept(clock.now()) {
                        let link = Link::open_within(stream, id, of_others.clone(), OUTBOX, &sink, &mut tasks);
                        links.insert(id, link);
                    }
                }
                Err(e) => {
                    // Out of file descriptors, mostly: a moment later there may be some.
                    woke = tokio::time::Instant::now();
                    unsaid += 1;
                    if woke >= say_from {
                        warn!(error = %e, times = unsaid, "cannot accept a connection");
                        (say_from, unsaid) = (woke + SAY_AGAIN, 0);
                    }
                    accept_from = woke + ACCEPT_AGAIN;
                }
            },
            made = dials.join_next(), if !dials.is_empty() => {
                woke = tokio::time::Instant::now();
                if let Some(Ok((id, made))) = made
                    && dialling.remove(&id).is_some()
                {
                    let input = match made {
                        Ok(stream) => {
                            let link = Link::open_within(stream, id, within.clone(), OUTBOX, &sink, &mut tasks);
                            links.insert(id, link);
                            Input::Dialled(id)
                        }
                        Err(e) => Input::DialFailed(id, e.to_string()),
                    };
                    core.handle(clock.now(), input);
                }
            }
            _ = inbox.recv_many(&mut batch, BATCH) => {
                woke = tokio::time::Instant::now();
                if let Some(span) = still.look(woke, false) {
                    core.stood_still(micros(span));
                }
                let now = clock.now();
                let waited = still.waited(woke).map(micros);
                for (id, happened) in batch.drain(..) {
                    let input = match happened {
                        Happened::Frame(frame) => {
                            room.give_back(frame.len());
                            match waited {
                                Some(waited) => Input::Waited(id, frame, waited),
                                None => Input::Frame(id, frame),
                            }
                        }
                        Happened::Written(bytes) => Input::Written(id, bytes),
                        Happened::Closed(why) => {
                            links.remove(&id);
                            Input::Closed(id, why)
                        }
                    };
                    core.handle(now, input);
                }
            }
            Some(ask) = asks.recv() => {
                woke = tokio::time::Instant::now();
                match ask {
                    // An asker that left needs none.
                    ToLoop::Document(reply) => _ = reply.send(core.document().0.clone()),
                    ToLoop::State(reply) => {
                        let _ = reply.send(state(&core));
                    }
                    ToLoop::Propose(propose, reply) => {
                        last_asker += 1;
                        askers.insert(last_asker, reply);
                        core.handle(clock.now(), propose(last_asker));
                    }
                    ToLoop::OperatorCommand(command, reply) => {
                        last_asker += 1;
                        wording.insert(last_asker, reply);
                        core.handle(clock.now(), Input::OperatorCommand(last_asker, command));
                    }
                }
            }
            () = tokio::time::sleep_until(wake) => woke = tokio::time::Instant::now(),
            _ = tasks.join_next(), if !tasks.is_empty() => woke = tokio::time::Instant::now(),
        }
    }
}

fn state(core: &Core) -> State {
    let (deployment, behind) = core.document();
    let (open, attempts_out, held_bytes) = core.load();
    let (crossed, past) = core.zones();
    let name = |h: &HostId| deployment.hosts.get(h.0 as usize).map(|p| p.name.clone());
    State {
        host: name(&core.me()).unwrap_or_default(),
        revision: deployment.place.revision.0,
        behind: behind.iter().filter_map(name).collect(),
        open,
        attempts_out,
        held_bytes,
        counts: core.counts().clone(),
        crossed,
        past,
        fleet: core.fleet(),
        maintenance: core.maintenance_view(),
    }
}

async fn accept(
    listener: Option<&TcpListener>,
    from: tokio::time::Instant,
) -> std::io::Result<(TcpStream, std::net::SocketAddr)> {
    match listener {
        Some(listener) => {
            if from > tokio::time::Instant::now() {
                tokio::time::sleep_until(from).await;
            }
            listener.accept().await
        }
        None => std::future::pending().await,
    }
}

fn micros(span: Duration) -> Span {
    Span::from_micros(i64::try_from(span.as_micros()).unwrap_or(i64::MAX))
}

/// Lets each link write what it still holds, for a bounded time, then ends all that is left.
async fn leave(links: BTreeMap<LinkId, Link>, tasks: &mut JoinSet<()>) {
    info!(links = links.len(), "leaving");
    drop(links);
    let all = async { while tasks.join_next().await.is_some() {} };
    // Both a reader that waits for its queue and a writer whose other side is stuck end with the set.
    let _ = tokio::time::timeout(gullsail_connections::LINGER * 2, all).await;
    tasks.shutdown().await;
}
