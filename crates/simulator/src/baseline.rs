//! A baseline to compare the host with. It speaks the host's protocol and forwards each request at once to a random
//! ready node that holds its data, or to any ready node. It rejects requests above an even share of the volume's limit.
//! It has no window, ordering, retries or slow start, and takes the state of nodes from the endpoint list.

mod connecting;

use bytes::Bytes;
use connecting::{Connecting, LIST_RECONNECT_WAIT, OpenedStream, Peer, ReadyNode};
use gullsail_configuration::{Deployment, NamedVolume};
use gullsail_connections::{Link, LinkEvent};
use gullsail_protocol::{
    Answer, Attempt, AttemptAnswer, AttemptResult, Bounds, EndpointListQuery, EndpointListUpdate,
    Frame, Hello, ListedState, Message, NotTaken, Outcome, Role, Submit,
};
use gullsail_scheduler_api::{HostId, Idempotency, IdempotencyScope};
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// An attempt that was sent to a node, with the request that it is for.
struct SentAttempt {
    /// The link of the client.
    client: u64,
    /// The client's id of the request.
    id: u64,
    idempotency: Idempotency,
    /// The link of the node.
    node: u64,
    deadline: Instant,
}

/// An open link, with the process at its other end.
struct PeerLink {
    peer: Peer,
    link: Link,
}

/// The token bucket of a volume at this host.
struct TokenBucket {
    tokens: f64,
    at: Instant,
}

struct BaselineHost {
    /// The first frame on each link.
    hello: Hello,
    deployment: Arc<Deployment>,
    rng: ChaCha8Rng,
    links: BTreeMap<u64, PeerLink>,
    /// The nodes that are ready according to the endpoint list, by name.
    ready: BTreeMap<String, ReadyNode>,
    /// The links of nodes that have sent their `Hello`, by the node's name.
    node_links: BTreeMap<String, u64>,
    attempts: BTreeMap<u64, SentAttempt>,
    /// The token buckets by volume number.
    buckets: BTreeMap<u64, TokenBucket>,
    last_attempt: u64,
}

/// The longest time between two checks for expired attempts.
const DEADLINE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Serves in place of the host `me` until its task is dropped.
pub async fn serve(deployment: Arc<Deployment>, me: HostId, seed: u64, listener: TcpListener) {
    let (sink, mut inbox) = mpsc::channel(1024);
    let mut tasks = JoinSet::new();
    let mut connecting = Connecting::new(deployment.list.address.clone());
    let mut host = BaselineHost::new(deployment, me, seed);
    connecting.open_list(Duration::ZERO);
    let mut last_link = 0;
    loop {
        connecting.open_nodes(&host.ready, &host.node_links);
        host.expire();
        let mut opened = None;
        tokio::select! {
            accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                opened = Some(OpenedStream { peer: Peer::Client, stream });
            },
            Some(Ok(connected)) = connecting.tasks.join_next(), if !connecting.tasks.is_empty() => {
                opened = connecting.handle_result(connected);
            },
            Some((id, event)) = inbox.recv() => match event {
                LinkEvent::Frame(frame) => host.handle_frame(id, frame),
                LinkEvent::Closed(_) => match host.links.remove(&id).map(|closed| closed.peer) {
                    Some(Peer::List) => connecting.open_list(LIST_RECONNECT_WAIT),
                    Some(Peer::Node(name)) => host.node_disconnected(id, &name),
                    Some(Peer::Client) | None => {}
                },
                LinkEvent::Written(_) => {}
            },
            () = tokio::time::sleep(DEADLINE_CHECK_INTERVAL) => {}
            _ = tasks.join_next(), if !tasks.is_empty() => {}
        }
        if let Some(OpenedStream { peer, stream }) = opened {
            last_link += 1;
            let link = Link::open(
                stream,
                last_link,
                Bounds::DEFAULT,
                16_384,
                &sink,
                &mut tasks,
            );
            host.greet(last_link, PeerLink { peer, link });
        }
    }
}

impl BaselineHost {
    fn new(deployment: Arc<Deployment>, me: HostId, seed: u64) -> BaselineHost {
        let hello = Hello {
            role: Role::Host as i32,
            name: deployment.hosts[me.0 as usize].name.clone(),
            incarnation: seed | 1,
            ..Hello::default()
        };
        let running = deployment.nodes.iter().filter(|node| !node.spare);
        let ready = running
            .map(|node| {
                let ready = ReadyNode {
                    address: node.place.address.clone(),
                    shard: node.shard.0,
                };
                (node.place.name.clone(), ready)
            })
            .collect();
        BaselineHost {
            hello,
            deployment,
            rng: ChaCha8Rng::seed_from_u64(seed),
            links: BTreeMap::new(),
            ready,
            node_links: BTreeMap::new(),
            attempts: BTreeMap::new(),
            buckets: BTreeMap::new(),
            last_attempt: 0,
        }
    }

    /// Keeps a new link, and sends the `Hello` on it and, to the list service, a query.
    fn greet(&mut self, id: u64, opened: PeerLink) {
        // The error is ignored: a closed link reports a `Closed` event.
        let _ = opened.link.send(Frame::from(self.hello.clone()));
        if opened.peer == Peer::List {
            let query = EndpointListQuery { watch: true };
            // The error is ignored for the same reason.
            let _ = opened.link.send(Frame::from(query));
        }
        self.links.insert(id, opened);
    }

    fn handle_frame(&mut self, link: u64, frame: Frame) {
        match frame.message {
            Message::Submit(submit) => self.submit(link, submit, frame.body),
            Message::AttemptAnswer(answer) => self.attempt_ended(&answer, frame.body),
            Message::Hello(hello) => {
                if let Some(PeerLink {
                    peer: Peer::Node(name),
                    ..
                }) = self.links.get(&link)
                    && *name == hello.name
                {
                    self.node_links.insert(hello.name, link);
                }
            }
            Message::EndpointListUpdate(update) => self.update_list(update),
            _ => {}
        }
    }

    fn attempt_ended(&mut self, ended: &AttemptAnswer, body: Bytes) {
        let Some(sent) = self.attempts.remove(&ended.attempt) else {
            return;
        };
        match AttemptResult::try_from(ended.result) {
            Ok(AttemptResult::Succeeded) => {
                let answer = Answer {
                    id: sent.id,
                    outcome: Outcome::Succeeded as i32,
                    handle: ended.handle,
                    retry_after_us: 0,
                };
                self.send(sent.client, Frame::from(answer).with_body(body));
            }
            Ok(AttemptResult::Rejected) => self.answer(&sent, true),
            _ => self.answer(&sent, false),
        }
    }

    fn update_list(&mut self, update: EndpointListUpdate) {
        if update.whole {
            self.ready.clear();
        }
        for entry in update.entries {
            if entry.state == ListedState::Ready as i32 {
                let node = ReadyNode {
                    address: entry.address,
                    shard: entry.shard,
                };
                self.ready.insert(entry.name, node);
            } else {
                self.ready.remove(&entry.name);
            }
        }
    }

    fn submit(&mut self, link: u64, submit: Submit, body: Bytes) {
        let deployment = self.deployment.clone();
        let request_class = deployment
            .request_classes
            .iter()
            .find(|class| class.name == submit.request_class);
        let (Some(request_class), Some(volume)) =
            (request_class, deployment.volume(&submit.volume))
        else {
            let not_taken = NotTaken {
                id: submit.id,
                reason: "not known here".into(),
                leaving: false,
            };
            return self.send(link, not_taken.into());
        };
        let now = Instant::now();
        let idempotency = request_class.decisions.idempotency;
        // 100 ms before the deadline, so that the answer reaches the client in time.
        let deadline = now
            + Duration::from_micros(submit.timeout_us.max(0) as u64)
                .saturating_sub(Duration::from_millis(100));
        let sent = SentAttempt {
            client: link,
            id: submit.id,
            idempotency,
            node: 0,
            deadline,
        };
        if !self.take_tokens(volume, submit.units, now) {
            return self.answer(&sent, true);
        }
        let holds_data = |node: &ReadyNode| submit.handle.is_none_or(|to| to.shard == node.shard);
        let chosen = self
            .ready
            .iter()
            .filter(|(_, node)| holds_data(node))
            .map(|(name, _)| name)
            .choose(&mut self.rng);
        let Some(node) = chosen.and_then(|name| self.node_links.get(name)).copied() else {
            return self.answer(&sent, true);
        };
        self.last_attempt += 1;
        let attempt = Attempt {
            attempt: self.last_attempt,
            request_class: submit.request_class,
            volume: submit.volume,
            units: submit.units,
            write: request_class.write,
            handle: submit.handle,
            idempotency_key: submit.idempotency_key,
            repeat: submit.repeat,
            number: 0,
            time_out_us: (deadline - now).as_micros() as i64,
        };
        self.attempts
            .insert(self.last_attempt, SentAttempt { node, ..sent });
        self.send(node, Frame::from(attempt).with_body(body));
    }

    /// Takes a request's units from this host's even share of the volume's limit. Returns `false` if it has too few.
    fn take_tokens(&mut self, volume: &NamedVolume, units: f64, now: Instant) -> bool {
        let Some(limit) = self.deployment.plans[volume.plan.0].decisions.limit else {
            return true;
        };
        let hosts = volume.hosts.len() as f64;
        let rate = limit.rate / hosts;
        let burst = limit.burst / hosts;
        // The bucket starts empty: a host that restarts has no record of the tokens that it spent before.
        let empty = TokenBucket {
            tokens: 0.0,
            at: now,
        };
        let bucket = self.buckets.entry(volume.id.0).or_insert(empty);
        bucket.tokens = (bucket.tokens + rate * (now - bucket.at).as_secs_f64()).min(burst);
        bucket.at = now;
        if bucket.tokens < units {
            return false;
        }
        bucket.tokens -= units;
        true
    }

    /// Rejects the request if a retry is safe, and reports it as failed otherwise.
    fn answer(&mut self, sent: &SentAttempt, never_ran: bool) {
        let retry_is_safe = matches!(
            sent.idempotency,
            Idempotency::Idempotent
                | Idempotency::WithKey {
                    scope: IdempotencyScope::All,
                    ..
                }
        );
        let outcome = if never_ran || retry_is_safe {
            Outcome::Rejected
        } else {
            Outcome::Failed
        };
        let retry_after_us = self.rng.random_range(100_000..300_000);
        let answer = Answer {
            id: sent.id,
            outcome: outcome as i32,
            handle: None,
            retry_after_us,
        };
        self.send(sent.client, answer.into());
    }

    /// Answers the requests whose attempts have reached their deadline.
    fn expire(&mut self) {
        let now = Instant::now();
        let expired: Vec<_> = self
            .attempts
            .iter()
            .filter(|(_, sent)| sent.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            if let Some(sent) = self.attempts.remove(&id) {
                self.answer(&sent, false);
            }
        }
    }

    /// Removes the closed link of a node and answers the requests whose attempts were sent on it.
    fn node_disconnected(&mut self, link: u64, name: &str) {
        self.node_links
            .retain(|node, node_link| node != name || *node_link != link);
        let expired: Vec<_> = self
            .attempts
            .iter()
            .filter(|(_, sent)| sent.node == link)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            if let Some(sent) = self.attempts.remove(&id) {
                self.answer(&sent, false);
            }
        }
    }

    fn send(&self, link: u64, frame: Frame) {
        if let Some(to) = self.links.get(&link) {
            // The error is ignored: a client retries when its connection closes, and an attempt without an answer
            // fails at its deadline.
            let _ = to.link.send(frame);
        }
    }
}
