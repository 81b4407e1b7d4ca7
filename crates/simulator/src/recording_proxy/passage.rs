//! One direction of a relayed connection: applies disturbances to frames and queues them until they are due.

use super::disturbance::DisturbanceKind;
use super::wire::Wire;
use gullsail_protocol::record::{Delivery, Entry, What};
use gullsail_protocol::{AttemptAnswer, AttemptResult, Frame, Message};
use std::collections::VecDeque;
use tokio::time::Instant;

/// A frame with its entry in the recording.
#[derive(Clone)]
pub(super) struct RecordedFrame {
    pub(super) entry: Entry,
    pub(super) frame: Frame,
}

/// A frame that is forwarded when it is due.
pub(super) struct QueuedFrame {
    pub(super) due: Instant,
    pub(super) recorded: RecordedFrame,
}

/// One direction of a connection, with the frames that are not forwarded yet.
#[derive(Default)]
pub(super) struct Direction {
    pub(super) queue: VecDeque<QueuedFrame>,
    /// A demand report that is forwarded after the next frame.
    held_for_swap: Option<RecordedFrame>,
    /// The direction is half-closed: later frames are dropped.
    pub(super) ended: bool,
}

impl Direction {
    fn push(&mut self, due: Instant, recorded: RecordedFrame) {
        self.queue.push_back(QueuedFrame { due, recorded });
    }
}

/// A frame after the disturbances were applied.
struct Disturbed {
    frame: Frame,
    due: Instant,
    delivery: Delivery,
    /// The frame swaps places with the next one.
    swap: bool,
    /// The frame is the last of its direction.
    half_close: bool,
    /// The frame arrives twice.
    repeat: bool,
}

/// The connection, direction and time of a frame that a relay forwards.
pub(super) struct FrameContext<'a> {
    pub(super) wire: &'a Wire,
    pub(super) link: u64,
    pub(super) from: &'a str,
    pub(super) to: &'a str,
    pub(super) at: i64,
    /// The bytes that the sender has sent on the connection up to the end of this frame; `None`: not counted.
    pub(super) stream_end: Option<u64>,
}

impl FrameContext<'_> {
    fn entry(&self, delivery: Delivery, frame: &Frame) -> Entry {
        let what = What::Frame {
            message: frame.message.clone(),
            body: frame.body.len(),
            delivery,
        };
        let mut entry = Entry::new(self.at, self.link, self.from, self.to, what);
        match frame.message {
            Message::Answer(_) => entry.stream_end = self.stream_end,
            Message::Attempt(_) => entry.received = self.wire.received_for_clients(self.from),
            _ => {}
        }
        entry
    }

    /// Applies the disturbances in force to a frame; `None`: the connection breaks.
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
            half_close: false,
            repeat: false,
        };
        for disturbance in wire.disturbances(self.from, self.to) {
            match disturbance {
                DisturbanceKind::Delay(by) => disturbed.due += by,
                DisturbanceKind::Lose(chance) if wire.chance(chance) => {
                    disturbed.delivery = Delivery::Dropped
                }
                DisturbanceKind::HalfClose(chance) if wire.chance(chance) => {
                    disturbed.half_close = true
                }
                DisturbanceKind::LoseDemandReports(chance)
                    if is_demand_report && wire.chance(chance) =>
                {
                    disturbed.delivery = Delivery::Dropped
                }
                DisturbanceKind::SwapDemandReports if is_demand_report => disturbed.swap = true,
                DisturbanceKind::Reset(chance) if wire.chance(chance) => return None,
                DisturbanceKind::Repeat(chance) if between_hosts && wire.chance(chance) => {
                    disturbed.repeat = true
                }
                DisturbanceKind::Errors(chance) => self.turn_into_error(chance, &mut disturbed),
                _ => {}
            }
        }
        Some(disturbed)
    }

    /// Turns a successful response into an error with this chance.
    fn turn_into_error(&self, chance: f64, disturbed: &mut Disturbed) {
        let Message::AttemptAnswer(answer) = &disturbed.frame.message else {
            return;
        };
        if answer.result != AttemptResult::Succeeded as i32 || !self.wire.chance(chance) {
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

/// Applies the disturbances to a frame and queues it. Returns `false` when the connection breaks.
pub(super) fn enqueue(direction: &mut Direction, context: &FrameContext<'_>, frame: Frame) -> bool {
    let wire = context.wire;
    if direction.ended {
        wire.write_entry(context.entry(Delivery::Dropped, &frame));
        return true;
    }
    let Some(disturbed) = context.disturb(frame) else {
        return false;
    };
    direction.ended = disturbed.half_close;
    // Frames of a connection stay in order, even if a later one has a shorter delay.
    let last_due = direction.queue.back().map(|last| last.due);
    let due = last_due.map_or(disturbed.due, |last| disturbed.due.max(last));
    let frame = disturbed.frame;
    if disturbed.delivery == Delivery::Dropped {
        wire.write_entry(context.entry(Delivery::Dropped, &frame));
        return true;
    }
    let passed = RecordedFrame {
        entry: context.entry(Delivery::Passed, &frame),
        frame,
    };
    if disturbed.swap && direction.held_for_swap.is_none() {
        direction.held_for_swap = Some(passed);
        return true;
    }
    if disturbed.repeat {
        direction.push(due, passed.clone());
    }
    direction.push(due, passed);
    if let Some(held) = direction.held_for_swap.take() {
        direction.push(due, held);
    }
    true
}
