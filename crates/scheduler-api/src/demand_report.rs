//! Messages between hosts about volumes, of at most 256 bytes each. A message has a tag byte and a kind byte.
//! A demand report then has its time and twelve bytes for each volume; a search has six bytes for each volume;
//! a list of users has ten bytes for each of a volume's hosts. Only schedulers encode and decode messages; hosts
//! pass the bytes on and convert the time of a report to the receiver's clock.

use crate::{HostId, Instant, Span, VolumeId};

/// One volume in a demand report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VolumeDemand {
    /// The volume, by its [`message_volume_id`].
    pub volume: VolumeId,
    /// Demand at the sender, in units a second; for a cross-zone budget, in bytes a second.
    pub demand: f64,
    /// Tokens that the sender wants to borrow from the receiver.
    pub wanted: f64,
    /// Tokens that the sender lends with this message.
    pub lent: f64,
}

/// A host that serves a volume.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VolumeUser {
    /// The volume, by its [`message_volume_id`].
    pub volume: VolumeId,
    /// A host that serves the volume.
    pub host: HostId,
}

/// A message between hosts.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// A demand report.
    Report {
        /// When the report was made, on the hosts' common clock.
        made_at: Instant,
        /// The demand for each volume.
        volumes: Vec<VolumeDemand>,
    },
    /// A search for the other hosts that serve these volumes.
    Search(Vec<VolumeId>),
    /// Hosts that serve volumes: the answer to a search.
    Users(Vec<VolumeUser>),
}

/// First byte of each message. Bytes that start otherwise were not sent by a scheduler.
const TAG: u8 = 0x67;
const REPORT: u8 = 2;
const SEARCH: u8 = 3;
const USERS: u8 = 4;
/// Length of a volume's id in a message.
const ID_BYTES: usize = 6;
/// Length of one volume's entry in a demand report: its id and three figures of two bytes.
const DEMAND_BYTES: usize = 12;
/// Length of one entry in a list of users: the volume's id and the host's number of four bytes.
const USER_BYTES: usize = 10;
/// Number of users that fit into one message of 256 bytes.
pub const USERS_PER_MESSAGE: usize = (256 - 2) / USER_BYTES;

/// A volume's id as messages hold it: its low six bytes.
pub fn message_volume_id(volume: VolumeId) -> VolumeId {
    VolumeId(volume.0 & 0xffff_ffff_ffff)
}

/// The value that the receiver of a figure reads: figures are encoded in two bytes and rounded down. A lender
/// subtracts this value, so that it gives up exactly the tokens that the borrower adds.
pub fn as_received(figure: f64) -> f64 {
    unpack_figure(pack_figure(figure))
}

fn pack_figure(figure: f64) -> u16 {
    ((figure.max(0.0) as f32).to_bits() >> 16) as u16
}

fn unpack_figure(packed: u16) -> f64 {
    f64::from(f32::from_bits(u32::from(packed) << 16))
}

fn id_bytes(volume: VolumeId) -> [u8; ID_BYTES] {
    let bytes = volume.0.to_le_bytes();
    [bytes[0], bytes[1], bytes[2], bytes[3], bytes[4], bytes[5]]
}

/// Encodes a demand report.
pub fn pack_report(made_at: Instant, volumes: &[VolumeDemand]) -> Vec<u8> {
    let mut bytes = vec![TAG, REPORT];
    bytes.extend(made_at.micros().to_le_bytes());
    for report in volumes {
        bytes.extend(id_bytes(report.volume));
        for figure in [report.demand, report.wanted, report.lent] {
            bytes.extend(pack_figure(figure).to_le_bytes());
        }
    }
    bytes
}

/// Encodes a search for the other hosts that serve a volume.
pub fn pack_search(volume: VolumeId) -> Vec<u8> {
    [&[TAG, SEARCH], id_bytes(volume).as_slice()].concat()
}

/// Encodes a list of users of volumes. `users` must have at most [`USERS_PER_MESSAGE`] entries.
pub fn pack_users(users: &[VolumeUser]) -> Vec<u8> {
    let mut bytes = vec![TAG, USERS];
    for user in users {
        bytes.extend(id_bytes(user.volume));
        bytes.extend(user.host.0.to_le_bytes());
    }
    bytes
}

/// Decodes a message; `None`: it is cut off, has an invalid figure, or was not sent by a scheduler.
pub fn unpack(bytes: &[u8]) -> Option<PeerMessage> {
    match bytes {
        [TAG, REPORT, body @ ..] => {
            let (made_at, body) = body.split_first_chunk::<8>()?;
            let volumes = body
                .chunks(DEMAND_BYTES)
                .map(unpack_demand)
                .collect::<Option<_>>()?;
            let made_at = Instant::from_micros(i64::from_le_bytes(*made_at));
            Some(PeerMessage::Report { made_at, volumes })
        }
        [TAG, SEARCH, body @ ..] => {
            let ids = body
                .chunks(ID_BYTES)
                .map(|id| Some(unpack_id(id.try_into().ok()?)));
            Some(PeerMessage::Search(ids.collect::<Option<_>>()?))
        }
        [TAG, USERS, body @ ..] => {
            let users = body.chunks(USER_BYTES).map(unpack_user);
            Some(PeerMessage::Users(users.collect::<Option<_>>()?))
        }
        _ => None,
    }
}

fn unpack_id(bytes: [u8; ID_BYTES]) -> VolumeId {
    let mut id = [0; 8];
    id[..ID_BYTES].copy_from_slice(&bytes);
    VolumeId(u64::from_le_bytes(id))
}

fn unpack_demand(bytes: &[u8]) -> Option<VolumeDemand> {
    let bytes: &[u8; DEMAND_BYTES] = bytes.try_into().ok()?;
    let (id, figures) = bytes.split_first_chunk()?;
    let figure = |at: usize| unpack_figure(u16::from_le_bytes([figures[at], figures[at + 1]]));
    let report = VolumeDemand {
        volume: unpack_id(*id),
        demand: figure(0),
        wanted: figure(2),
        lent: figure(4),
    };
    let figures = [report.demand, report.wanted, report.lent];
    let valid = figures
        .iter()
        .all(|figure| figure.is_finite() && *figure >= 0.0);
    valid.then_some(report)
}

fn unpack_user(bytes: &[u8]) -> Option<VolumeUser> {
    let bytes: &[u8; USER_BYTES] = bytes.try_into().ok()?;
    let (id, host) = bytes.split_first_chunk()?;
    let host = HostId(u32::from_le_bytes(host.try_into().ok()?));
    Some(VolumeUser {
        volume: unpack_id(*id),
        host,
    })
}

/// The message with the time of its demand report shifted by `by`, from the sender's clock to the receiver's.
/// A message that is cut off or is not a demand report is returned unchanged.
pub fn with_shifted_time(bytes: &[u8], by: Span) -> Vec<u8> {
    let mut shifted = bytes.to_vec();
    if let (true, Some(made_at)) = (bytes.starts_with(&[TAG, REPORT]), shifted.get_mut(2..10)) {
        let at = i64::from_le_bytes(made_at.try_into().unwrap_or_default());
        made_at.copy_from_slice(&at.saturating_add(by.micros()).to_le_bytes());
    }
    shifted
}
