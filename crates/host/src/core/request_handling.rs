//! Requests of clients: each is checked and handed to the scheduler, and gets one final answer. The
//! scheduler's actions are carried out from here.

use super::Core;
use super::input_output::LinkId;
use super::requests::{OpenRequest, object};
use super::timers::TimerKind;
use gullsail_protocol::{Answer, Frame, Handle, NotTaken, Outcome, Submit};
use gullsail_scheduler_api::{Action, Event, Request, RequestClassId, RequestId, ShardId, Span};

/// The most that an attempt's frame holds beside names and body.
const ATTEMPT_HEAD: usize = 96;

/// What a client is answered.
pub(super) struct FinalAnswer {
    pub(super) outcome: Outcome,
    pub(super) handle: Option<Handle>,
    pub(super) retry_after: Span,
    pub(super) body: bytes::Bytes,
}

impl From<Outcome> for FinalAnswer {
    fn from(outcome: Outcome) -> FinalAnswer {
        FinalAnswer {
            outcome,
            handle: None,
            retry_after: Span::ZERO,
            body: bytes::Bytes::new(),
        }
    }
}

/// The places of a request's names in the configuration.
struct RequestPlaces {
    volume: usize,
    request_class: usize,
}

impl Core {
    /// A client hands a request over. What can't be accepted is refused at once, with the reason. `aged`: it
    /// may have waited while the process stood still.
    pub(super) fn submit(&mut self, link: LinkId, submit: Submit, body: bytes::Bytes, aged: bool) {
        if self.requests.find(link, submit.id).is_some() {
            return self.close_link(link, "one id for two open transfers");
        }
        if self.stopping {
            return self.refuse(link, submit.id, "this host is leaving".into(), true);
        }
        match self.check_submit(&submit, &body) {
            Ok(places) => self.admit(link, submit, body, aged, &places),
            Err(reason) => self.refuse(link, submit.id, reason, false),
        }
    }

    /// Where the request's names are in the configuration; else why it can't be accepted, as the client is to
    /// read it.
    fn check_submit(&self, submit: &Submit, body: &bytes::Bytes) -> Result<RequestPlaces, String> {
        let d = &self.deployment;
        let Some(place) = d
            .request_classes
            .iter()
            .position(|s| s.name == submit.request_class)
        else {
            return Err(format!(
                "no stream type is called \"{}\"",
                submit.request_class
            ));
        };
        let Some(at) = d.volume_at(&submit.volume) else {
            return Err(format!("no volume is called \"{}\"", submit.volume));
        };
        let (volume, request_class) = (&d.volumes[at], &d.request_classes[place]);
        let most = d.figures().max_units;
        if !volume.through(self.me) {
            return Err(format!(
                "volume \"{}\" does not come through this host",
                volume.name
            ));
        }
        if !(submit.units > 0.0 && submit.units <= most) {
            return Err(format!(
                "{} units; more than 0 and at most {most} can be taken",
                submit.units
            ));
        }
        // The scheduler ends what is open two ticks ahead of its deadline: this request it could only answer
        // as too late, and a loop that is held up for those two ticks would answer late.
        if submit.timeout_us <= d.figures().tick.times(2.0).micros() {
            return Err("its time is up, or less than two ticks are left".into());
        }
        if !request_class.write && submit.handle.is_none() {
            return Err("a read needs the handle of what it reads".into());
        }
        if !request_class.write && !body.is_empty() {
            return Err("a read has no body".into());
        }
        Ok(RequestPlaces {
            volume: at,
            request_class: place,
        })
    }

    fn admit(
        &mut self,
        link: LinkId,
        submit: Submit,
        body: bytes::Bytes,
        aged: bool,
        places: &RequestPlaces,
    ) {
        let d = &self.deployment;
        let volume = &d.volumes[places.volume];
        let request_class = &d.request_classes[places.request_class];
        // No less than its attempts' frames will have: names, figures, and the body.
        let names = submit.request_class.len() + submit.volume.len() + submit.mark.len();
        let request = Request {
            id: RequestId::default(),
            request_class: RequestClassId(places.request_class),
            plan: volume.plan,
            volume: volume.id,
            units: submit.units,
            shard: submit.handle.map(|h| ShardId(h.shard)),
            object: object(&submit),
            timeout: Span::from_micros(submit.timeout_us).min(request_class.deadline),
            volume_hosts: volume.hosts.len() as u32,
            pool: d
                .routes
                .pool(places.volume, RequestClassId(places.request_class)),
            bytes: (ATTEMPT_HEAD + names + body.len()) as f64,
        };
        let write = request_class.write;
        let deadline = self.now + request.timeout;
        let id = self.requests.take(OpenRequest {
            link,
            submit,
            write,
            body,
            deadline,
            aged,
            attempts: 0,
        });
        self.counts.taken += 1;
        self.record_request_demand(request.volume, request.units);
        self.events
            .push(Event::RequestArrived(Request { id, ..request }));
    }

    /// Tells a client that its request is not accepted; nothing was decided on it. `leaving`: this host
    /// stops.
    pub(super) fn refuse(&mut self, link: LinkId, id: u64, reason: String, leaving: bool) {
        self.counts.not_taken += 1;
        self.send(
            link,
            Frame::from(NotTaken {
                id,
                reason,
                leaving,
            }),
        );
    }

    /// A client no longer wants what it calls by this name.
    pub(super) fn withdraw(&mut self, link: LinkId, name: u64) {
        if let Some(id) = self.requests.find(link, name) {
            self.client_left(id);
        }
    }

    /// Nobody waits for this request any more.
    pub(super) fn client_left(&mut self, id: RequestId) {
        if self.requests.end(id).is_some() {
            self.counts.clients_left += 1;
            self.events.push(Event::ClientDisconnected(id));
        }
    }

    /// Carries out one action of the scheduler.
    pub(super) fn act(&mut self, action: Action) {
        match action {
            Action::StartAttempt { id, node, time_out } => self.start_attempt(id, node, time_out),
            Action::Reject { id, retry_after } => {
                let retry_after = retry_after.unwrap_or(Span::ZERO);
                self.answer(
                    id,
                    FinalAnswer {
                        retry_after,
                        ..FinalAnswer::from(Outcome::Rejected)
                    },
                );
            }
            Action::Fail { id } => self.answer(id, FinalAnswer::from(Outcome::Failed)),
            Action::BudgetOverrun {
                cross_zone_budget,
                bytes,
                cause,
                ..
            } => self.record_overrun(cross_zone_budget, bytes, cause),
            Action::WatchEndpoints => self.connect_endpoint_list(),
            Action::SetTimer { id, at } => self.at(at, TimerKind::Scheduler(id)),
            Action::SendToPeer { to, bytes } => self.send_demand_report(to, bytes),
        }
    }

    /// The one final answer. A request that has it is no longer open, so there is no second.
    pub(super) fn answer(&mut self, id: RequestId, answer: FinalAnswer) {
        let Some(open) = self.requests.end(id) else {
            return;
        };
        // Keeps rule 1 after the process stood still: the client's timeout is over, and it may have tried
        // elsewhere. Otherwise answers are due two ticks before the deadline.
        if self.now > open.deadline {
            self.counts.answers_withheld += 1;
            if open.aged && open.attempts == 0 {
                // The client may still wait, and nothing of the request ran.
                self.refuse(
                    open.link,
                    open.submit.id,
                    "its time may be up".into(),
                    false,
                );
            }
            return;
        }
        match answer.outcome {
            Outcome::Succeeded => self.counts.done += 1,
            Outcome::Rejected => self.counts.rejected += 1,
            _ => self.counts.failed += 1,
        }
        let frame = Frame::from(Answer {
            id: open.submit.id,
            outcome: answer.outcome as i32,
            handle: answer.handle,
            retry_after_us: answer.retry_after.micros(),
        });
        self.send_by(open.link, frame.with_body(answer.body), Some(open.deadline));
        self.update_reading(open.link);
    }
}
