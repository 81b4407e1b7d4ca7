//! Messages from other hosts: demand reports with requests for tokens and loans, searches for the hosts of a
//! volume, and the answers to such searches.

use super::directory::OtherUsers;
use crate::scheduler::intervals::DEMAND_WINDOW;
use crate::scheduler::state::SchedulerState;
use gullsail_scheduler_api::demand_report::{self, PeerMessage, VolumeDemand, VolumeUser};
use gullsail_scheduler_api::{Action, HostId, Instant, VolumeId};

/// Handles a message from another host. Messages from this host's own id or from ids outside the fleet are
/// ignored.
pub(crate) fn handle_peer_message(state: &mut SchedulerState, from: HostId, bytes: &[u8]) {
    if !is_other_host(state, from) {
        return;
    }
    match demand_report::unpack(bytes) {
        Some(PeerMessage::Report { made_at, volumes }) => {
            for report in volumes {
                handle_report(state, from, made_at, report);
            }
        }
        Some(PeerMessage::Search(volumes)) => {
            for volume in volumes {
                register_user(state, from, volume);
            }
        }
        Some(PeerMessage::Users(users)) => {
            for user in users {
                add_peer(state, user);
            }
        }
        // The message is truncated, invalid or in an unknown format, so it is ignored.
        None => {}
    }
}

fn is_other_host(state: &SchedulerState, host: HostId) -> bool {
    host != state.config.host_id && host.0 < state.config.host_count
}

fn handle_report(state: &mut SchedulerState, from: HostId, made_at: Instant, report: VolumeDemand) {
    let now = state.now;
    // Hosts share one clock, so a report from the future is invalid. An old report is out of date.
    if made_at > now || now - made_at >= DEMAND_WINDOW {
        return;
    }
    let started_at = state.volumes.started_at();
    let Some(volume) = state.volumes.get_mut(report.volume) else {
        return;
    };
    let reply = volume.receive_report(from, made_at, report, started_at, now, &state.config);
    if let Some(reply) = reply {
        let bytes = demand_report::pack_report(now, &[reply]);
        state.actions.push(Action::SendToPeer { to: from, bytes });
    }
}

/// Answers a host's search for the other hosts of a volume. If the host is new in the directory, the other
/// hosts are notified of it.
pub(crate) fn register_user(state: &mut SchedulerState, from: HostId, volume: VolumeId) {
    let OtherUsers {
        hosts,
        searcher_is_new,
    } = state.directory.register(from, volume, state.now);
    let others: Vec<_> = hosts
        .into_iter()
        .map(|host| VolumeUser { volume, host })
        .collect();
    send_users(state, from, &others);
    if searcher_is_new {
        for other in others {
            send_users(state, other.host, &[VolumeUser { volume, host: from }]);
        }
    }
}

fn send_users(state: &mut SchedulerState, to: HostId, users: &[VolumeUser]) {
    if to == state.config.host_id {
        for user in users {
            add_peer(state, *user);
        }
        return;
    }
    for users in users.chunks(demand_report::USERS_PER_MESSAGE) {
        state.actions.push(Action::SendToPeer {
            to,
            bytes: demand_report::pack_users(users),
        });
    }
}

fn add_peer(state: &mut SchedulerState, user: VolumeUser) {
    if !is_other_host(state, user.host) {
        return;
    }
    if let Some(volume) = state.volumes.get_mut(user.volume) {
        volume.add_peer(user.host);
    }
}
