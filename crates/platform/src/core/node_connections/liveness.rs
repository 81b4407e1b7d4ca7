//! Evidence that a node's process was not restarted when a connection to it was lost. The scheduler takes a lost
//! connection for a restart; it learns otherwise by an endpoint list that counts as reported by the node itself.

use super::super::context::Context;
use super::node::UnexplainedLoss;
use super::pool::NodeConnections;
use gullsail_scheduler_api::{Event, Instant, NodeId, Span, UpdateKind};

/// Longest time for which a response may be in flight. A response that is received later than this after a loss, on a
/// connection established before it, was sent after the loss.
const MAX_IN_FLIGHT: Span = Span::from_micros(100_000);
/// Shortest time in which a process ends and another takes its place.
const MIN_RESTART: Span = Span::from_micros(250_000);
/// Shortest time in which a server goes away, comes back and serves. A loss between two signs of life that are closer
/// than this and [`MIN_RESTART`] was no restart.
const MIN_RETURN: Span = Span::from_micros(2_000_000);
/// Discovery reports a restart within this time; the platform states it.
const DISCOVERY_DELAY: Span = Span::from_micros(6_000_000);

impl UnexplainedLoss {
    /// The sign of life came on a connection that was established before the loss, and was not in flight then.
    fn survived_by(
        &self,
        established_at: Instant,
        written_at: Option<Instant>,
        now: Instant,
    ) -> bool {
        established_at < self.at
            && written_at.is_some_and(|written| written > self.at || now - self.at >= MAX_IN_FLIGHT)
    }

    /// The sign of life comes so soon after the loss, and the loss so soon after the sign before, that no restart
    /// fits between.
    fn too_short_for_restart(&self, now: Instant) -> bool {
        now - self.at < MIN_RESTART
            && self
                .last_alive
                .is_some_and(|alive| self.at - alive < MIN_RETURN)
    }
}

impl NodeConnections {
    /// A sign of life: a connection to the node was established, or a response was received to a message that was
    /// written at `written_at`.
    pub(super) fn node_alive(
        &mut self,
        node: NodeId,
        established_at: Instant,
        written_at: Option<Instant>,
        context: &mut Context,
    ) {
        let now = context.now;
        let Some(known) = self.nodes.get_mut(&node) else {
            return;
        };
        known.last_alive = Some(now);
        let Some(loss) = known.unexplained_loss else {
            return;
        };
        if loss.survived_by(established_at, written_at, now) || loss.too_short_for_restart(now) {
            self.rule_out_restart(node, context);
        }
    }

    /// An earlier unexplained loss is kept in place of this one for as long as it matters to slow start.
    pub(super) fn record_loss(&mut self, node: NodeId, now: Instant) {
        let Some(known) = self.nodes.get_mut(&node) else {
            return;
        };
        if known
            .unexplained_loss
            .is_none_or(|earlier| now - earlier.at >= self.slow_start)
        {
            known.unexplained_loss = Some(UnexplainedLoss {
                at: now,
                last_alive: known.last_alive,
            });
        }
    }

    /// Tells the scheduler that the node's process is as old as discovery says.
    fn rule_out_restart(&mut self, node: NodeId, context: &mut Context) {
        let Some(known) = self.nodes.get_mut(&node) else {
            return;
        };
        if !known.is_ready() {
            return;
        }
        known.unexplained_loss = None;
        context.metrics.same_process_after_break += 1;
        context.scheduler_events.push(Event::EndpointList {
            update_kind: UpdateKind::SelfReported,
            entries: vec![known.listed.endpoint.clone()],
        });
    }

    /// Discovery has answered: by now it would have reported a restart at any loss that is older than its delay.
    pub(in super::super) fn rule_out_old_restarts(&mut self, context: &mut Context) {
        let now = context.now;
        let old: Vec<_> = self
            .nodes
            .iter()
            .filter(|(_, known)| {
                known
                    .unexplained_loss
                    .is_some_and(|loss| now - loss.at >= DISCOVERY_DELAY)
            })
            .map(|(node, _)| *node)
            .collect();
        for node in old {
            self.rule_out_restart(node, context);
        }
    }
}
