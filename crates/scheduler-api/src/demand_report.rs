//! What hosts say to each other, in messages of at most 256 bytes: a tag, then when it was said and twelve
//! bytes for each volume, or for each of a volume's hosts ten.

use crate::{HostId, Instant, Span, VolumeId};

/// One volume: what was asked a second at the sender, the tokens that it wants, and those it lends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    pub volume: VolumeId,
    pub asked: f64,
    pub want: f64,
    pub lent: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Said {
    /// When, and of which volumes.
    Labels(Instant, Vec<Line>),
    /// Who else uses these volumes?
    Seeks(Vec<VolumeId>),
    /// Hosts that use volumes.
    Users(Vec<(VolumeId, HostId)>),
}

const TAG: u8 = 0x67;
const LABEL: u8 = 2;
const SEEK: u8 = 3;
const USERS: u8 = 4;
const LINE: usize = 12;
const PAIR: usize = 10;
/// How many pairs one message holds.
pub const PAIRS: usize = (256 - 2) / PAIR;

/// Six bytes of a volume's id travel.
pub fn carried(volume: VolumeId) -> VolumeId {
    VolumeId(volume.0 & 0xffff_ffff_ffff)
}

/// A figure as the receiver will read it: two bytes, rounded down.
pub fn rounded(figure: f64) -> f64 {
    long(short(figure))
}

fn short(figure: f64) -> u16 {
    ((figure.max(0.0) as f32).to_bits() >> 16) as u16
}

fn long(short: u16) -> f64 {
    f64::from(f32::from_bits(u32::from(short) << 16))
}

pub fn pack(said: Instant, lines: &[Line]) -> Vec<u8> {
    let mut b = vec![TAG, LABEL];
    b.extend(said.micros().to_le_bytes());
    for l in lines {
        b.extend(&l.volume.0.to_le_bytes()[..6]);
        for figure in [l.asked, l.want, l.lent] {
            b.extend(short(figure).to_le_bytes());
        }
    }
    b
}

pub fn pack_seek(volume: VolumeId) -> Vec<u8> {
    [&[TAG, SEEK], &volume.0.to_le_bytes()[..6]].concat()
}

pub fn pack_users(pairs: &[(VolumeId, HostId)]) -> Vec<u8> {
    let mut b = vec![TAG, USERS];
    for (volume, host) in pairs {
        b.extend(&volume.0.to_le_bytes()[..6]);
        b.extend(host.0.to_le_bytes());
    }
    b
}

fn volume(b: &[u8]) -> VolumeId {
    let mut id = [0; 8];
    id[..6].copy_from_slice(&b[..6]);
    VolumeId(u64::from_le_bytes(id))
}

/// `None`: cut off or foreign.
pub fn unpack(b: &[u8]) -> Option<Said> {
    if let [TAG, SEEK, body @ ..] = b {
        let ids = body.chunks(6).map(|c| (c.len() == 6).then(|| volume(c)));
        return Some(Said::Seeks(ids.collect::<Option<_>>()?));
    }
    if let [TAG, USERS, body @ ..] = b {
        let pairs = body.chunks(PAIR).map(|c| {
            let c: &[u8; PAIR] = c.try_into().ok()?;
            Some((volume(c), HostId(u32::from_le_bytes([c[6], c[7], c[8], c[9]]))))
        });
        return Some(Said::Users(pairs.collect::<Option<_>>()?));
    }
    let (said, body) = b.strip_prefix(&[TAG, LABEL])?.split_first_chunk::<8>()?;
    let lines = body.chunks(LINE).map(|c| {
        let c: &[u8; LINE] = c.try_into().ok()?;
        let figure = |at: usize| long(u16::from_le_bytes([c[at], c[at + 1]]));
        let l = Line { volume: volume(c), asked: figure(6), want: figure(8), lent: figure(10) };
        let sound = [l.asked, l.want, l.lent].iter().all(|f| f.is_finite() && *f >= 0.0);
        sound.then_some(l)
    });
    let lines = lines.collect::<Option<_>>()?;
    Some(Said::Labels(Instant::from_micros(i64::from_le_bytes(*said)), lines))
}

/// The same message, with the time of a demand report moved by `by`: from the sender's clock to the receiver's.
/// What is no demand report, or cut off, comes back as it is.
pub fn moved(bytes: &[u8], by: Span) -> Vec<u8> {
    let mut moved = bytes.to_vec();
    if let (true, Some(said)) = (bytes.starts_with(&[TAG, LABEL]), moved.get_mut(2..10)) {
        let at = i64::from_le_bytes(said.try_into().unwrap_or_default());
        said.copy_from_slice(&at.saturating_add(by.micros()).to_le_bytes());
    }
    moved
}
