//! How labels travel between hosts, in messages of at most 256 bytes: a tag, when it was said and until
//! when its loans run, then ten bytes for each volume.

use crate::{Instant, VolumeId};

/// One volume: what was asked a second, and what the sender lends to the receiver.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    pub volume: VolumeId,
    pub asked: f64,
    pub lent: f64,
}

const TAG: [u8; 2] = [0x67, 0x01];
const HEAD: usize = 14;
const LINE: usize = 10;
/// How many lines one message holds.
pub const LINES: usize = (256 - HEAD) / LINE;

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

pub fn pack(said: Instant, until: u32, lines: &[Line]) -> Vec<u8> {
    let mut b = TAG.to_vec();
    b.extend(said.micros().to_le_bytes());
    b.extend(until.to_le_bytes());
    for l in lines {
        b.extend(&l.volume.0.to_le_bytes()[..6]);
        b.extend(short(l.asked).to_le_bytes());
        b.extend(short(l.lent).to_le_bytes());
    }
    b
}

/// `None`: cut off or foreign.
pub fn unpack(b: &[u8]) -> Option<(Instant, u32, Vec<Line>)> {
    let (said, body) = b.strip_prefix(&TAG)?.split_first_chunk::<8>()?;
    let (until, body) = body.split_first_chunk::<4>()?;
    let lines = body.chunks(LINE).map(|c| {
        let c: &[u8; LINE] = c.try_into().ok()?;
        let mut id = [0; 8];
        id[..6].copy_from_slice(&c[..6]);
        let asked = long(u16::from_le_bytes([c[6], c[7]]));
        let lent = long(u16::from_le_bytes([c[8], c[9]]));
        let sound = asked.is_finite() && lent.is_finite() && asked >= 0.0 && lent >= 0.0;
        sound.then_some(Line { volume: VolumeId(u64::from_le_bytes(id)), asked, lent })
    });
    let lines = lines.collect::<Option<_>>()?;
    Some((Instant::from_micros(i64::from_le_bytes(*said)), u32::from_le_bytes(*until), lines))
}
