//! Relays: each accepts the connections to one process, opens a connection to the process for each of them, and
//! forwards frames both ways.

use super::passage::{Direction, FrameContext, RecordedFrame, enqueue};
use super::received_bytes::ReceivedBytes;
use super::wire::Wire;
use gullsail_connections::{Link, LinkEvent};
use gullsail_protocol::record::{Entry, What};
use gullsail_protocol::{Bounds, Frame, Message, Role};
use socket2::{SockRef, Socket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Accepts connections to the process `name` and relays each to the address that `target` holds at that time; `None`
/// closes it. Runs until its task is dropped.
pub async fn relay(
    wire: Arc<Wire>,
    name: String,
    listener: TcpListener,
    target: watch::Receiver<Option<String>>,
) {
    let mut links = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                let at = wire.now();
                wire.write_entry(Entry::new(at, 0, "?", &name, What::Came));
                let address = target.borrow().clone();
                links.spawn(relay_connection(wire.clone(), name.clone(), stream, address));
            },
            _ = links.join_next(), if !links.is_empty() => {}
        }
    }
}

/// The end of a relayed connection that sent a frame.
#[derive(Clone, Copy, PartialEq)]
enum Side {
    Initiator,
    Target,
}

/// Forwards the frames that are due in both directions. Returns `false` if one side
/// accepts no more frames.
fn forward_due(wire: &Wire, now: Instant, sides: [(&mut Direction, &mut Link); 2]) -> bool {
    let mut send_failed = false;
    for (direction, to) in sides {
        while let Some(queued) = direction.queue.pop_front_if(|front| front.due <= now) {
            let RecordedFrame { mut entry, frame } = queued.recorded;
            entry.sent_at = wire.now();
            // Recorded before it is sent, so that the entry precedes that of any reply to it.
            wire.write_entry(entry);
            send_failed |= to.send(frame).is_err() && !direction.ended;
        }
        if direction.ended && direction.queue.is_empty() {
            to.finish();
        }
    }
    !send_failed
}

/// Records and sends the frames of a direction that are still queued, without waiting until they are due.
fn flush(wire: &Wire, direction: Direction, to: &Link) {
    for queued in direction.queue {
        wire.write_entry(queued.recorded.entry);
        // The error is ignored: the connection is closing, and the receiver may have closed it already.
        let _ = to.send(queued.recorded.frame);
    }
}

/// Waits until the tasks of both connections have written their queued frames.
async fn finish_writes(mut tasks: JoinSet<()>) {
    let all = async { while tasks.join_next().await.is_some() {} };
    // The error is ignored: frames that are not written within this time are lost with the connection.
    let _ = tokio::time::timeout(gullsail_connections::LINGER * 2, all).await;
}

/// The two directions of a relayed connection.
struct Directions {
    to_target: Direction,
    to_initiator: Direction,
    /// The name of the process that opened the connection; `?` until its `Hello` arrives.
    from: String,
    /// The name of the process to which the connection was opened.
    to: String,
    /// The bytes of the frames from that process that the relay has processed.
    processed_from_target: Arc<AtomicU64>,
    /// The byte counts for [`Wire::watch_client_link`]; taken when a client's `Hello` arrives.
    received_from_target: Option<ReceivedBytes>,
}

impl Directions {
    /// `socket` is the connection to the process, for its byte counts.
    fn new(to: String, target: &Link, socket: Option<Socket>) -> Directions {
        let processed_from_target = Arc::new(AtomicU64::new(0));
        let received_from_target = socket.map(|socket| ReceivedBytes {
            read: target.read_bytes(),
            processed: processed_from_target.clone(),
            socket,
        });
        Directions {
            to_target: Direction::default(),
            to_initiator: Direction::default(),
            from: "?".into(),
            to,
            processed_from_target,
            received_from_target,
        }
    }

    fn next_due(&self) -> Option<Instant> {
        let fronts = [&self.to_target, &self.to_initiator].into_iter();
        let due = fronts.filter_map(|direction| direction.queue.front().map(|queued| queued.due));
        due.min()
    }

    /// Queues a frame from one side. Returns `false` when the connection breaks.
    fn queue_frame(&mut self, wire: &Wire, link: u64, side: Side, frame: Frame) -> bool {
        if let (Side::Initiator, Message::Hello(hello)) = (side, &frame.message) {
            self.from = hello.name.clone();
            if let (Ok(Role::Client), Some(received)) =
                (Role::try_from(hello.role), self.received_from_target.take())
            {
                wire.watch_client_link(&self.to, link, received);
            }
        }
        if side == Side::Target {
            let bytes = frame.len() as u64;
            self.processed_from_target
                .fetch_add(bytes, Ordering::Relaxed);
        }
        match side {
            Side::Initiator => {
                let context = FrameContext {
                    wire,
                    link,
                    from: &self.from,
                    to: &self.to,
                    at: wire.now(),
                    stream_end: None,
                };
                enqueue(&mut self.to_target, &context, frame)
            }
            Side::Target => {
                let context = FrameContext {
                    wire,
                    link,
                    from: &self.to,
                    to: &self.from,
                    at: wire.now(),
                    stream_end: Some(self.processed_from_target.load(Ordering::Relaxed)),
                };
                enqueue(&mut self.to_initiator, &context, frame)
            }
        }
    }
}

/// Relays one accepted connection until it closes.
async fn relay_connection(
    wire: Arc<Wire>,
    name: String,
    stream: TcpStream,
    address: Option<String>,
) {
    if wire.rejects_connection(&name).await {
        return;
    }
    let Some(address) = address else { return };
    let Ok(target_stream) = TcpStream::connect(address).await else {
        return;
    };
    // Without the socket, the bytes received on this connection are not counted.
    let socket = SockRef::from(&target_stream).try_clone();
    let (sink, mut inbox) = mpsc::channel(256);
    let mut tasks = JoinSet::new();
    let mut open =
        |stream, side| Link::open(stream, side, Bounds::DEFAULT, 16_384, &sink, &mut tasks);
    let mut initiator = open(stream, Side::Initiator);
    let mut target = open(target_stream, Side::Target);
    let link = wire.next_link();
    let mut cuts = wire.later_cuts();
    let mut directions = Directions::new(name, &target, socket.ok());
    let why = loop {
        let now = Instant::now();
        let sides = [
            (&mut directions.to_target, &mut target),
            (&mut directions.to_initiator, &mut initiator),
        ];
        if !forward_due(&wire, now, sides) {
            break "one side does not read".to_string();
        }
        let next_wakeup = directions
            .next_due()
            .unwrap_or(now + Duration::from_secs(3600));
        tokio::select! {
            Some((side, event)) = inbox.recv() => match event {
                LinkEvent::Frame(frame) => if !directions.queue_frame(&wire, link, side, frame) {
                    break "broken on purpose".into();
                },
                LinkEvent::Closed(why) => break why,
                LinkEvent::Written(_) => {}
            },
            _ = cuts.changed() => {
                if cuts.borrow_and_update().matches(&directions.from, &directions.to) {
                    break "cut on purpose".into();
                }
            }
            () = tokio::time::sleep_until(next_wakeup) => {}
        }
    };
    record_close(&wire, link, &directions, why);
    wire.forget_client_link(&directions.to, link);
    directions.received_from_target = None;
    // Frames that were queued when one side closed are still delivered.
    flush(&wire, directions.to_target, &target);
    flush(&wire, directions.to_initiator, &initiator);
    drop((initiator, target));
    finish_writes(tasks).await;
}

fn record_close(wire: &Wire, link: u64, directions: &Directions, why: String) {
    let at = wire.now();
    wire.write_entry(Entry::new(
        at,
        link,
        &directions.from,
        &directions.to,
        What::Closed { why },
    ));
}
