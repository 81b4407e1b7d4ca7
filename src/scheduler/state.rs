//! Shapes of what the module's parts hold and pass on: notes, the room of a node as the desk sees it,
//! requests and the lines in which they wait. Nothing is decided here; what is tuned stands with its use.

use super::*;

pub(super) enum NodeNote {
    Listed(Endpoint, bool), // and whether the node itself said it
    Out { id: RequestId, attempt: u32, units: f64, latency_objective: Span },
    Ended { id: RequestId, attempt: u32, outcome: AttemptOutcome, latency: Span },
    Beat,
}

/// Which, when, its units, whether it was served.
pub(super) type ColdAttempt = ((RequestId, u32), Instant, f64, bool);

#[derive(Clone)]
pub(super) struct Room {
    pub(super) entry: Endpoint,
    pub(super) slots: usize,
    pub(super) units: f64, // how many it may be sent now; infinite once it is warm
    pub(super) even: f64,  // and within this host's even part, whatever other hosts do
    pub(super) latency: Span,
    pub(super) silent: bool,
    pub(super) weak: bool,   // cold, or late or full within the last minute
    pub(super) seldom: bool, // its answers are too few to know it by
}

/// Attempts out at nodes of one zone that answer seldom, with their latency objectives, and the window that
/// they share.
#[derive(Default)]
pub(super) struct Seldom {
    pub(super) window: f64,
    pub(super) out: BTreeMap<(RequestId, u32), Span>,
    pub(super) halved: Instant,
}

pub(super) enum DeskNote {
    Event(Event),
    Room(Room),
}

#[derive(Default)]
pub(super) struct OpenRequest {
    pub(super) t: Request,
    pub(super) objective_deadline: Instant,
    pub(super) half_time: Instant,    // when half of the time until then is gone
    pub(super) line: Option<LineKey>, // where it waits
    pub(super) attempts: u32,
    pub(super) out: u32,
    /// The first attempt that did not prove that it never ran: its number, where, since when.
    pub(super) maybe_ran: Option<(u32, ShardId, ZoneId, Instant)>,
    pub(super) closed: bool, // it has its final answer, or a stream has begun that is now the client's
}

/// Where an attempt can go: to who holds this data, or, of a new object, to any node of a pool.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Where {
    Pool(PoolId),
    Shard(ShardId),
}

/// Whether it holds further attempts, which wait in lines of their own, and for where.
pub(super) type LineKey = (bool, Where);

/// What waits for a node, by volume and request class, the least time left first.
#[derive(Default)]
pub(super) struct Line {
    pub(super) groups: BTreeMap<(VolumeId, RequestClassId), BTreeSet<(Instant, RequestId)>>,
    pub(super) beat: Option<TimerId>,
}

/// The requests of one object whose request class keeps order, in order of arrival; idle until when.
pub(super) type Turn = (VecDeque<RequestId>, Instant);

/// One endpoint as this host knows it; what is decided by it stands in `endpoint.rs`.
#[derive(Default)]
pub(super) struct Node {
    pub(super) inbox: VecDeque<NodeNote>,
    pub(super) entry: Endpoint,
    // Below one where even one attempt at a time is too much: they are then spaced out
    pub(super) window: f64,
    pub(super) out: BTreeMap<(RequestId, u32), (Instant, Span)>, // when sent, and the latency objective
    pub(super) latency: DecayingSum, // by answers, in seconds, and the number of these
    pub(super) answers: DecayingSum,
    pub(super) halved: Instant,
    pub(super) heard: Instant,
    pub(super) gone: Instant, // since when, if it is
    pub(super) last_sent: Instant,
    pub(super) lost: u32,                   // time-outs since anything came of it
    pub(super) cold_sent: Vec<ColdAttempt>, // kept exactly: a rule counts it
}

/// Requests, queues, volumes and what else one host holds between two steps.
#[derive(Default)]
pub(super) struct Desk {
    pub(super) inbox: VecDeque<DeskNote>,
    pub(super) outbox: VecDeque<(NodeId, NodeNote)>,
    pub(super) actions: Vec<Action>,
    pub(super) now: Instant,
    pub(super) born: Instant,
    pub(super) config: SchedulerConfig,
    pub(super) rooms: BTreeMap<NodeId, Room>, // of nodes that are ready
    pub(super) ready: BTreeMap<PoolId, Vec<NodeId>>,
    pub(super) shards: BTreeMap<ShardId, BTreeSet<NodeId>>,
    pub(super) drawn: BTreeSet<(NodeId, PoolId)>, // for a new object
    pub(super) left: BTreeMap<Where, Instant>, // where a node was heard of that is not ready, and when last
    pub(super) requests: BTreeMap<RequestId, OpenRequest>,
    pub(super) lines: BTreeMap<LineKey, Line>,
    pub(super) beats: BTreeMap<TimerId, LineKey>,
    pub(super) last_beat: u64,
    pub(super) turns: BTreeMap<ObjectId, Turn>,
    pub(super) volumes: BTreeMap<VolumeId, Volume>,
    /// The map of who uses a volume, kept for the volumes that fall to this host, with when each last asked.
    pub(super) users: BTreeMap<VolumeId, BTreeMap<HostId, Instant>>,
    pub(super) seldom: BTreeMap<ZoneId, Seldom>,
    pub(super) sent: DecayingSum, // attempts, and those of them done
    pub(super) good: DecayingSum,
    // What volumes that go past their reserves were sent of late, by weight, in the mean
    pub(super) fair: f64,
    // Units that all hosts ask of a node within the rule's window, if they ask as this one does
    pub(super) crowd: f64,
    pub(super) longest_timeout: BTreeMap<RequestClassId, Span>,
    pub(super) accepted: VecDeque<Instant>,
    pub(super) resent: VecDeque<Instant>,
    pub(super) ask_again: Span,
    // All types queue together in a node: a patient one must not grow what jams the tightest
    pub(super) tight: Span,
}

/// Whatever has a limit over all hosts: a volume, in units, or a budget of bytes between zones.
#[derive(Default)]
pub(super) struct Volume {
    pub(super) cross_zone_budget: Option<usize>, // which budget it is
    pub(super) plan: PlanId,
    pub(super) hosts: f64,
    pub(super) part: Option<Limit>, // while documents change: this host's part, where it is not an even one
    pub(super) left: bool,          // no longer through this host
    pub(super) asked: DecayingSum,
    /// Tokens at this host, and the units of first attempts that wait here.
    pub(super) level: f64,
    pub(super) waiting: f64,
    pub(super) at: Instant,
    /// What was lent just now may still be under way: this host's cap is lower by it until then.
    pub(super) lent: VecDeque<(Instant, f64)>,
    pub(super) reserve: f64,
    pub(super) used: Option<f64>, // units a second through all hosts, as answers tell, some seconds late
    pub(super) extra: DecayingSum, // units sent past the reserve, by weight
    // When its newest demand report was said; what was asked
    pub(super) peers: BTreeMap<HostId, (Instant, f64)>,
    pub(super) turn: usize, // of the peers: who is asked next, and when
    pub(super) ask_at: Instant,
    pub(super) seeks: u32, // looks for more of them so far, and when next
    pub(super) seek_at: Instant,
}

impl Desk {
    pub(super) fn enter(&mut self, room: &Room, rng: &mut ChaCha8Rng) {
        let (id, ready) = (room.entry.node, room.entry.state == EndpointState::Ready);
        let pools = [PoolId::ALL].into_iter().chain(room.entry.pools.iter().copied()).map(Where::Pool);
        let places = pools.chain([Where::Shard(room.entry.shard)]).filter(|_| !ready);
        self.left.extend(places.map(|place| (place, self.now)));
        let moved = |e: &Endpoint| e.shard != room.entry.shard || e.pools != room.entry.pools;
        if let Some(old) = self.rooms.get(&id).filter(|r| !ready || moved(&r.entry)) {
            self.shards.entry(old.entry.shard).and_modify(|c| _ = c.remove(&id));
            self.shards.retain(|_, nodes| !nodes.is_empty());
            self.ready.values_mut().for_each(|nodes| nodes.retain(|other| *other != id));
            self.drawn.retain(|d| d.0 != id);
            self.rooms.remove(&id);
        }
        if ready && self.rooms.insert(id, room.clone()).is_none() {
            self.shards.entry(room.entry.shard).or_default().insert(id);
            for pool in [PoolId::ALL].iter().chain(&room.entry.pools) {
                self.ready.entry(*pool).or_default().push(id);
                self.draw(*pool, rng);
            }
        }
    }

    pub(super) fn leave_line(&mut self, id: RequestId) {
        let Some((key, x)) = self.requests.get_mut(&id).and_then(|x| Some((x.line.take()?, x))) else {
            return;
        };
        let (Some(line), group) = (self.lines.get_mut(&key), (x.t.volume, x.t.request_class)) else { return };
        line.groups.entry(group).and_modify(|g| _ = g.remove(&(x.objective_deadline, id)));
        line.groups.retain(|_, g| !g.is_empty());
        if line.groups.is_empty() {
            self.lines.remove(&key);
        }
        if let (0, Some(v)) = (x.attempts, self.volumes.get_mut(&x.t.volume)) {
            v.waiting -= x.t.units;
        }
    }

    pub(super) fn holders(&self, shard: ShardId) -> impl Iterator<Item = NodeId> {
        self.shards.get(&shard).into_iter().flatten().copied()
    }
}
