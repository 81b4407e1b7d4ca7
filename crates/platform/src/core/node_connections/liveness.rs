//! Evidence that a node's process was not restarted when a connection to it was lost. The scheduler assumes a restart
//! when a connection is lost. An endpoint list of kind [`UpdateKind::SelfReported`] with the old start time shows
//! that there was none.
//!
//! A sign of life of a node is an established connection or a received response.

use super::super::context::Context;
use super::node::UnexplainedLoss;
use super::pool::NodeConnections;
use gullsail_scheduler_api::{Event, Instant, NodeId, Span, UpdateKind};

/// Longest time for which a response is in flight. A response that is received more than this time after a loss was
/// sent after the loss.
const MAX_IN_FLIGHT: Span = Span::from_micros(100_000);
/// Shortest time from the end of a node's process until a new process accepts connections.
const MIN_RESTART: Span = Span::from_micros(250_000);
/// Shortest time in which a node's server stops, returns and serves again. A loss was no restart if less than this time
/// lies between the last sign of life and the loss, and less than [`MIN_RESTART`] between the loss and the next sign.
const MIN_RETURN: Span = Span::from_micros(2_000_000);
/// Discovery reports a restart within this time, as the platform's documentation states.
const DISCOVERY_DELAY: Span = Span::from_micros(6_000_000);

impl UnexplainedLoss {
    /// Whether a sign of life now proves that the process survived the loss: it came on a connection that was
    /// established before the loss, and the node sent it after the loss.
    fn is_survived(
        &self,
        established_at: Instant,
        written_at: Option<Instant>,
        now: Instant,
    ) -> bool {
        established_at < self.lost_at
            && written_at.is_some_and(|written| {
                written > self.lost_at || now - self.lost_at >= MAX_IN_FLIGHT
            })
    }

    /// Whether the time between the last sign of life before the loss and a sign of life now is too short for a
    /// restart.
    fn too_short_for_restart(&self, now: Instant) -> bool {
        now - self.lost_at < MIN_RESTART
            && self
                .last_alive
                .is_some_and(|alive| self.lost_at - alive < MIN_RETURN)
    }
}

impl NodeConnections {
    /// Records a sign of life on a connection that was established at `established_at`, and rules out a restart if this
    /// sign proves that there was none. `written_at`: when the message was written whose response was received; `None`
    /// if the sign is that the connection was established.
    pub(super) fn node_alive(
        &mut self,
        node: NodeId,
        established_at: Instant,
        written_at: Option<Instant>,
        context: &mut Context,
    ) {
        let now = context.now;
        let Some(node_state) = self.nodes.get_mut(&node) else {
            return;
        };
        node_state.last_alive = Some(now);
        let Some(loss) = node_state.unexplained_loss else {
            return;
        };
        if loss.is_survived(established_at, written_at, now) || loss.too_short_for_restart(now) {
            self.rule_out_restart(node, context);
        }
    }

    /// Records that a connection to the node was lost. An earlier unexplained loss is kept instead while it is more
    /// recent than the duration of slow start: a restart at that time would still affect the node's capacity.
    pub(super) fn record_loss(&mut self, node: NodeId, now: Instant) {
        let Some(node_state) = self.nodes.get_mut(&node) else {
            return;
        };
        if node_state
            .unexplained_loss
            .is_none_or(|earlier| now - earlier.lost_at >= self.slow_start)
        {
            node_state.unexplained_loss = Some(UnexplainedLoss {
                lost_at: now,
                last_alive: node_state.last_alive,
            });
        }
    }

    /// Reports to the scheduler that the node's process still has the start time that discovery listed.
    fn rule_out_restart(&mut self, node: NodeId, context: &mut Context) {
        let Some(node_state) = self.nodes.get_mut(&node) else {
            return;
        };
        if !node_state.is_ready() {
            return;
        }
        node_state.unexplained_loss = None;
        context.metrics.same_process_after_break += 1;
        context.scheduler_events.push(Event::EndpointList {
            update_kind: UpdateKind::SelfReported,
            entries: vec![node_state.listed.endpoint.clone()],
        });
    }

    /// Rules out restarts at losses older than [`DISCOVERY_DELAY`]. Called when discovery has responded: it would have
    /// reported these restarts by now.
    pub(in super::super) fn rule_out_old_restarts(&mut self, context: &mut Context) {
        let now = context.now;
        let without_restart: Vec<_> = self
            .nodes
            .iter()
            .filter(|(_, node_state)| {
                node_state
                    .unexplained_loss
                    .is_some_and(|loss| now - loss.lost_at >= DISCOVERY_DELAY)
            })
            .map(|(node, _)| *node)
            .collect();
        for node in without_restart {
            self.rule_out_restart(node, context);
        }
    }
}
