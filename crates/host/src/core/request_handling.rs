//! Requests of clients. Each is checked and handed to the scheduler, and gets at most one final answer. The
//! scheduler's actions are carried out here.

use super::Core;
use super::ids::ConnectionId;
use super::requests::{OpenRequest, object};
use super::timer_kind::TimerKind;
use bytes::Bytes;
use gullsail_protocol::{Answer, Frame, Handle, NotTaken, Outcome, Submit};
use gullsail_scheduler_api::{Action, Event, Request, RequestClassId, RequestId, ShardId, Span};
use thiserror::Error;

/// Bytes that are charged to a cross-zone budget for an attempt's frame, in addition to its names and body. No frame
/// has a larger head, so a budget is never charged too little; a larger value would charge small requests too much.
const ATTEMPT_HEAD_BYTES: usize = 96;

/// Ticks that a request's timeout must exceed. The scheduler ends open requests two ticks ahead of their deadlines,
/// so it would end a request with less time at once, and an event loop that is delayed by those two ticks would
/// answer after the deadline.
const MIN_TICKS_LEFT: f64 = 2.0;

/// The final answer to a request.
pub(super) struct FinalAnswer {
    pub(super) outcome: Outcome,
    pub(super) handle: Option<Handle>,
    /// How long the client should wait before it sends the request again; zero: no wait is given.
    pub(super) retry_after: Span,
    pub(super) body: Bytes,
}

impl From<Outcome> for FinalAnswer {
    fn from(outcome: Outcome) -> FinalAnswer {
        FinalAnswer {
            outcome,
            handle: None,
            retry_after: Span::ZERO,
            body: Bytes::new(),
        }
    }
}

/// Indices in the configuration of the volume and the request class that a request names.
struct RequestIndices {
    volume: usize,
    request_class: usize,
}

/// A request that passed all checks.
struct ValidRequest {
    link: ConnectionId,
    submit: Submit,
    body: Bytes,
    timeout_shortened: bool,
    indices: RequestIndices,
}

/// Why a request is not accepted. The texts are shown to the client.
#[derive(Debug, Error)]
enum InvalidRequest {
    #[error("unknown request class \"{0}\"")]
    UnknownClass(String),
    #[error("unknown volume \"{0}\"")]
    UnknownVolume(String),
    #[error("volume \"{0}\" is not served through this host")]
    VolumeElsewhere(String),
    #[error("units out of range: got {units}, allowed 0 < units <= {max}")]
    UnitsOutOfRange { units: f64, max: f64 },
    #[error("deadline passed or closer than 2 ticks")]
    DeadlineTooClose,
    #[error("a read needs the handle of what it reads")]
    ReadWithoutHandle,
    #[error("a read must not have a body")]
    ReadWithBody,
}

impl Core {
    /// Handles a request of a client. An invalid request, or one that arrives during the shutdown, is refused at
    /// once with the reason. `timeout_shortened`: the request may have waited while the process was stalled.
    pub(super) fn submit(
        &mut self,
        link: ConnectionId,
        submit: Submit,
        body: Bytes,
        timeout_shortened: bool,
    ) {
        if self.requests.by_client_id(link, submit.id).is_some() {
            return self.close_connection(link, "one id used for two open requests");
        }
        if self.shutdown.requested {
            return self.refuse(link, submit.id, "this host is shutting down".into(), true);
        }
        match self.check_submit(&submit, &body) {
            Ok(indices) => self.hand_to_scheduler(ValidRequest {
                link,
                submit,
                body,
                timeout_shortened,
                indices,
            }),
            Err(invalid) => self.refuse(link, submit.id, invalid.to_string(), false),
        }
    }

    /// Checks a request. Returns the indices of its volume and class in the configuration.
    fn check_submit(
        &self,
        submit: &Submit,
        body: &Bytes,
    ) -> Result<RequestIndices, InvalidRequest> {
        let deployment = &self.deployment;
        let figures = deployment.figures();
        let mut classes = deployment.request_classes.iter();
        let Some(class_index) = classes.position(|class| class.name == submit.request_class) else {
            return Err(InvalidRequest::UnknownClass(submit.request_class.clone()));
        };
        let Some(volume_index) = deployment.volume_at(&submit.volume) else {
            return Err(InvalidRequest::UnknownVolume(submit.volume.clone()));
        };
        let volume = &deployment.volumes[volume_index];
        if !volume.is_served_by(self.identity.host) {
            return Err(InvalidRequest::VolumeElsewhere(volume.name.clone()));
        }
        let units = submit.units;
        let max = figures.max_units;
        if !(units > 0.0 && units <= max) {
            return Err(InvalidRequest::UnitsOutOfRange { units, max });
        }
        if submit.timeout_us <= figures.tick.times(MIN_TICKS_LEFT).micros() {
            return Err(InvalidRequest::DeadlineTooClose);
        }
        if !deployment.request_classes[class_index].write {
            check_read(submit, body)?;
        }
        Ok(RequestIndices {
            volume: volume_index,
            request_class: class_index,
        })
    }

    /// Opens a valid request and hands it to the scheduler, which decides on it in the next step.
    fn hand_to_scheduler(&mut self, valid: ValidRequest) {
        let request = self.scheduler_request(&valid);
        let write = self.deployment.request_classes[valid.indices.request_class].write;
        let id = self.requests.insert(OpenRequest {
            link: valid.link,
            submit: valid.submit,
            write,
            body: valid.body,
            deadline: self.now + request.timeout,
            timeout_shortened: valid.timeout_shortened,
            attempts: 0,
        });
        self.counts.taken += 1;
        self.record_request_demand(request.volume, request.units);
        self.events
            .push(Event::RequestArrived(Request { id, ..request }));
    }

    /// Builds the scheduler's form of a request. The caller sets its id.
    fn scheduler_request(&self, valid: &ValidRequest) -> Request {
        let deployment = &self.deployment;
        let submit = &valid.submit;
        let volume = &deployment.volumes[valid.indices.volume];
        let class = RequestClassId(valid.indices.request_class);
        let class_deadline = deployment.request_classes[valid.indices.request_class].deadline;
        // An upper bound of the length of an attempt's frame.
        let names = submit.request_class.len() + submit.volume.len() + submit.idempotency_key.len();
        let bytes = ATTEMPT_HEAD_BYTES + names + valid.body.len();
        Request {
            id: RequestId::default(),
            request_class: class,
            plan: volume.plan,
            volume: volume.id,
            units: submit.units,
            shard: submit.handle.map(|handle| ShardId(handle.shard)),
            object: object(submit),
            timeout: Span::from_micros(submit.timeout_us).min(class_deadline),
            volume_hosts: volume.hosts.len() as u32,
            pool: deployment.routes.pool(valid.indices.volume, class),
            bytes: bytes as f64,
        }
    }

    /// Reports to a client that its request is not accepted. No attempt of it was sent. `leaving`: this host shuts
    /// down, so the client should use another.
    fn refuse(&mut self, link: ConnectionId, id: u64, reason: String, leaving: bool) {
        self.counts.not_taken += 1;
        let refused = NotTaken {
            id,
            reason,
            leaving,
        };
        self.send(link, Frame::from(refused));
    }

    /// Handles a client's withdrawal of one of its requests.
    pub(super) fn withdraw(&mut self, link: ConnectionId, client_request_id: u64) {
        if let Some(id) = self.requests.by_client_id(link, client_request_id) {
            self.client_left(id);
        }
    }

    /// Ends a request whose client withdrew it or disconnected.
    pub(super) fn client_left(&mut self, id: RequestId) {
        if self.requests.end(id).is_some() {
            self.counts.clients_left += 1;
            self.events.push(Event::ClientDisconnected(id));
        }
    }

    /// Carries out one action of the scheduler.
    pub(super) fn carry_out(&mut self, action: Action) {
        match action {
            Action::StartAttempt {
                id,
                node,
                time_out,
                send_before,
            } => self.start_attempt(id, node, time_out, send_before),
            Action::Reject { id, retry_after } => {
                let rejected = FinalAnswer {
                    retry_after: retry_after.unwrap_or(Span::ZERO),
                    ..FinalAnswer::from(Outcome::Rejected)
                };
                self.answer(id, rejected);
            }
            Action::Fail { id } => self.answer(id, FinalAnswer::from(Outcome::Failed)),
            Action::BudgetOverrun {
                cross_zone_budget,
                bytes,
                cause,
                ..
            } => self.record_overrun(cross_zone_budget, bytes, cause),
            Action::WatchEndpoints => self.connect_endpoint_list(),
            Action::SetTimer { id, at } => self.set_timer(at, TimerKind::Scheduler(id)),
            Action::SendToPeer { to, bytes } => self.send_demand_report(to, bytes),
        }
    }

    /// Sends the final answer to a request and ends it. Does nothing if the request is no longer open, so a client
    /// never gets a second answer.
    pub(super) fn answer(&mut self, id: RequestId, answer: FinalAnswer) {
        let Some(open) = self.requests.end(id) else {
            return;
        };
        if self.now > open.deadline {
            return self.drop_late_answer(&open);
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

    /// Drops an answer that is ready only after the deadline, which happens only after a stall of the process:
    /// otherwise answers are due two ticks before the deadline. By now the client may have sent the request to
    /// another host, so an answer could be its second one.
    fn drop_late_answer(&mut self, open: &OpenRequest) {
        self.counts.late_answers_dropped += 1;
        if open.timeout_shortened && open.attempts == 0 {
            // The client may still wait, and no attempt was sent, so a refusal is correct.
            let reason = "deadline may have passed while the host was stalled".into();
            self.refuse(open.link, open.submit.id, reason, false);
        }
    }
}

fn check_read(submit: &Submit, body: &Bytes) -> Result<(), InvalidRequest> {
    if submit.handle.is_none() {
        return Err(InvalidRequest::ReadWithoutHandle);
    }
    if !body.is_empty() {
        return Err(InvalidRequest::ReadWithBody);
    }
    Ok(())
}
