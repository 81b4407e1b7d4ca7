//! Assigns frames to requests and attempts by the connection and the identifier that they carry.

use super::{AnswerSeen, AttemptAnswerSeen, AttemptSeen, History, RequestSeen};
use gullsail_protocol::record::Delivery;
use gullsail_protocol::{Answer, Attempt, AttemptAnswer, AttemptResult, Submit};
use std::collections::BTreeMap;

/// Identifies a request or an attempt: its identifier is unique only on its connection.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct OnLink {
    link: u64,
    id: u64,
}

/// What the recording holds about a frame that a proxy sent on, beside its message. The fields are those of an
/// [`Entry`](gullsail_protocol::record::Entry).
pub(super) struct ForwardedFrame {
    pub(super) line: usize,
    pub(super) at: i64,
    pub(super) forwarded_at: i64,
    pub(super) link: u64,
    pub(super) from: String,
    pub(super) to: String,
    pub(super) delivery: Delivery,
    pub(super) stream_end: Option<u64>,
    pub(super) received: BTreeMap<u64, u64>,
}

/// Finds requests and attempts in the history by the identifiers that their frames carry.
#[derive(Default)]
pub(super) struct RequestIndex {
    /// Indices into the history's requests.
    requests: BTreeMap<OnLink, usize>,
    /// Indices into the history's attempts.
    attempts: BTreeMap<OnLink, usize>,
}

impl RequestIndex {
    /// The request that was last submitted with this identifier on the connection.
    pub(super) fn request<'a>(
        &self,
        history: &'a mut History,
        link: u64,
        id: u64,
    ) -> Option<&'a mut RequestSeen> {
        let place = *self.requests.get(&OnLink { link, id })?;
        history.requests.get_mut(place)
    }

    pub(super) fn answer(&self, history: &mut History, passed: &ForwardedFrame, answer: Answer) {
        let sent_by = passed
            .stream_end
            .and_then(|end| history.unread.had_come_by(passed.link, end));
        let ForwardedFrame { line, at, link, .. } = *passed;
        if let Some(request) = self.request(history, link, answer.id) {
            request.answers.push(AnswerSeen {
                line,
                at: sent_by.map_or(at, |sent_by| sent_by.min(at)),
                read_at: at,
                answer,
                stream_end: passed.stream_end,
            });
        }
    }

    pub(super) fn submit(&mut self, history: &mut History, passed: ForwardedFrame, submit: Submit) {
        let ForwardedFrame {
            line,
            forwarded_at,
            link,
            to,
            ..
        } = passed;
        self.requests.insert(
            OnLink {
                link,
                id: submit.id,
            },
            history.requests.len(),
        );
        history.requests.push(RequestSeen {
            line,
            at: forwarded_at,
            host: to,
            link,
            submit,
            answers: Vec::new(),
            not_taken_at: None,
            withdrawn_at: None,
            link_closed_at: None,
            attempts: Vec::new(),
        });
    }

    pub(super) fn attempt(
        &mut self,
        history: &mut History,
        passed: ForwardedFrame,
        attempt: Attempt,
    ) {
        let ForwardedFrame {
            line,
            at,
            forwarded_at,
            link,
            from,
            to,
            received,
            ..
        } = passed;
        self.attempts.insert(
            OnLink {
                link,
                id: attempt.attempt,
            },
            history.attempts.len(),
        );
        history.attempts.push(AttemptSeen {
            line,
            at,
            arrived_at: forwarded_at,
            host: from,
            node: to,
            link,
            attempt,
            answer: None,
            broken_at: None,
            sent_to_clients: received,
        });
    }

    pub(super) fn attempt_answer(
        &mut self,
        history: &mut History,
        passed: &ForwardedFrame,
        answer: &AttemptAnswer,
    ) {
        let ForwardedFrame {
            line,
            forwarded_at,
            link,
            delivery,
            ..
        } = *passed;
        let place = self.attempts.get(&OnLink {
            link,
            id: answer.attempt,
        });
        let Some(seen) = place.and_then(|place| history.attempts.get_mut(*place)) else {
            return;
        };
        let result = AttemptResult::try_from(answer.result).unwrap_or(AttemptResult::Unknown);
        match &mut seen.answer {
            // An answer that the script altered is recorded twice. The node's original comes first and tells whether
            // the request ran; the altered one gives the time and result that the host received.
            None => {
                let at = if delivery == Delivery::Altered {
                    i64::MAX
                } else {
                    forwarded_at
                };
                seen.answer = Some(AttemptAnswerSeen {
                    line,
                    at,
                    result,
                    ran: answer.ran,
                });
            }
            Some(original) if original.at == i64::MAX => {
                original.at = forwarded_at;
                original.result = result;
            }
            Some(_) => {}
        }
    }
}

/// Marks the requests and the unanswered attempts of a connection that closed.
pub(super) fn close_link(history: &mut History, link: u64, at: i64) {
    for request in history
        .requests
        .iter_mut()
        .filter(|request| request.link == link)
    {
        request.link_closed_at.get_or_insert(at);
    }
    for attempt in &mut history.attempts {
        if attempt.link == link && attempt.answer.is_none() {
            attempt.broken_at.get_or_insert(at);
        }
    }
}
