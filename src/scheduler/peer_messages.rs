//! Messages from other hosts, handed to their handlers, and the map of which hosts use a volume, for the
//! volumes whose map falls to this host. Reports and requests for tokens are decided on in `demand_reports`.

use super::request_scheduler::RequestScheduler;
use gullsail_scheduler_api::demand_report::{self, PeerMessage, VolumeUser};
use gullsail_scheduler_api::{Action, HostId, VolumeId};

impl RequestScheduler {
    pub(super) fn handle_peer_message(&mut self, from: HostId, bytes: &[u8]) {
        if from == self.config.me || from.0 >= self.config.hosts {
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
            None => {}
        }
    }

    /// One host searches for the other users of a volume: it is sent them, and each of them a new one.
    pub(super) fn register_user(&mut self, from: HostId, volume: VolumeId) {
        let users = self.volumes.users.entry(volume).or_default();
        let new = users.insert(from, self.now).is_none();
        let others = users.keys().filter(|host| **host != from);
        let others: Vec<_> = others
            .map(|host| VolumeUser {
                volume,
                host: *host,
            })
            .collect();
        self.send_users(from, &others);
        if new {
            for other in others {
                self.send_users(other.host, &[VolumeUser { volume, host: from }]);
            }
        }
    }

    fn send_users(&mut self, to: HostId, users: &[VolumeUser]) {
        if to == self.config.me {
            users.iter().for_each(|user| self.add_peer(*user));
            return;
        }
        for users in users.chunks(demand_report::USERS_PER_MESSAGE) {
            self.actions.push(Action::SendToPeer {
                to,
                bytes: demand_report::pack_users(users),
            });
        }
    }

    pub(super) fn add_peer(&mut self, user: VolumeUser) {
        if user.host == self.config.me || user.host.0 >= self.config.hosts {
            return;
        }
        if let Some(volume) = self.volumes.by_id.get_mut(&user.volume) {
            volume.peers.reports.entry(user.host).or_default();
        }
    }
}
