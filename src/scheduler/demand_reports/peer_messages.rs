//! Messages from other hosts: demand reports with requests for tokens and loans, searches for the hosts of a
//! volume, and the answers to such searches.

use super::super::request_scheduler::RequestScheduler;
use super::super::volume::DEMAND_WINDOW;
use super::directory::OtherUsers;
use gullsail_scheduler_api::demand_report::{self, PeerMessage, VolumeDemand, VolumeUser};
use gullsail_scheduler_api::{Action, HostId, Instant, VolumeId};

impl RequestScheduler {
    pub(crate) fn handle_peer_message(&mut self, from: HostId, bytes: &[u8]) {
        if !self.is_other_host(from) {
            return;
        }
        match demand_report::unpack(bytes) {
            Some(PeerMessage::Report { made_at, volumes }) => {
                for report in volumes {
                    self.handle_report(from, made_at, report);
                }
            }
            Some(PeerMessage::Search(volumes)) => {
                for volume in volumes {
                    self.register_user(from, volume);
                }
            }
            Some(PeerMessage::Users(users)) => {
                for user in users {
                    self.add_peer(user);
                }
            }
            // Cut off, or not of this program: there is nothing to answer.
            None => {}
        }
    }

    fn is_other_host(&self, host: HostId) -> bool {
        host != self.config.me && host.0 < self.config.hosts
    }

    fn handle_report(&mut self, from: HostId, made_at: Instant, report: VolumeDemand) {
        let now = self.now;
        // Hosts share one clock. A report from the future is not of this fleet; an old one is out of date.
        if made_at > now || now - made_at >= DEMAND_WINDOW {
            return;
        }
        let started_at = self.volumes.started_at();
        let Some(volume) = self.volumes.get_mut(report.volume) else {
            return;
        };
        let reply = volume.receive_report(from, made_at, report, started_at, now, &self.config);
        if let Some(reply) = reply {
            let bytes = demand_report::pack_report(now, &[reply]);
            self.actions.push(Action::SendToPeer { to: from, bytes });
        }
    }

    /// Answers a host's search for the other users of a volume. If the host is new, the others are told of it.
    pub(crate) fn register_user(&mut self, from: HostId, volume: VolumeId) {
        let OtherUsers {
            hosts,
            searcher_is_new,
        } = self.directory.register(from, volume, self.now);
        let others: Vec<_> = hosts
            .into_iter()
            .map(|host| VolumeUser { volume, host })
            .collect();
        self.send_users(from, &others);
        if searcher_is_new {
            for other in others {
                self.send_users(other.host, &[VolumeUser { volume, host: from }]);
            }
        }
    }

    fn send_users(&mut self, to: HostId, users: &[VolumeUser]) {
        if to == self.config.me {
            for user in users {
                self.add_peer(*user);
            }
            return;
        }
        for users in users.chunks(demand_report::USERS_PER_MESSAGE) {
            self.actions.push(Action::SendToPeer {
                to,
                bytes: demand_report::pack_users(users),
            });
        }
    }

    fn add_peer(&mut self, user: VolumeUser) {
        if !self.is_other_host(user.host) {
            return;
        }
        if let Some(volume) = self.volumes.get_mut(user.volume) {
            volume.peers_mut().add(user.host);
        }
    }
}
