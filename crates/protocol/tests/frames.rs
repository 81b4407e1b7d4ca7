//! What the codec makes of good, split, foreign and hostile bytes.

use bytes::{BufMut, Bytes, BytesMut};
use gullsail_protocol::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const BOUNDS: Bounds = Bounds {
    message: 4096,
    body: 1 << 16,
};

fn wire(frame: &Frame) -> BytesMut {
    let mut b = BytesMut::new();
    frame.encode_head(&mut b);
    b.put_slice(&frame.body);
    assert_eq!(b.len(), frame.len());
    b
}

fn header(tag: u8, version: u8, kind: u16, message: u32, body: u32) -> BytesMut {
    let mut b = BytesMut::new();
    b.put_u8(tag);
    b.put_u8(version);
    b.put_u16_le(kind);
    b.put_u32_le(message);
    b.put_u32_le(body);
    b
}

fn submit(id: u64, body: usize) -> Frame {
    let m = Submit {
        id,
        volume: "v".into(),
        units: 2.5,
        idempotency_key: "m".into(),
        timeout_us: 9,
        ..Submit::default()
    };
    Frame::from(m).with_body(Bytes::from(vec![7; body]))
}

#[test]
fn frames_come_whole_however_they_are_split() {
    let frames = [
        submit(1, 0),
        Frame::from(Cancel { attempt: 4 }),
        submit(2, 300),
        Frame::from(Hello::default()),
    ];
    let all: Vec<u8> = frames.iter().flat_map(|f| wire(f).to_vec()).collect();
    for step in [1, 2, 11, 13, 100, all.len()] {
        let (mut buf, mut got) = (BytesMut::new(), Vec::new());
        for part in all.chunks(step) {
            buf.put_slice(part);
            while let Some(f) = decode(&mut buf, BOUNDS).unwrap() {
                got.push(f);
            }
        }
        assert_eq!(
            (got.as_slice(), buf.len()),
            (frames.as_slice(), 0),
            "in steps of {step}"
        );
    }
}

#[test]
fn what_is_not_understood_is_named() {
    let long = Frame::from(DemandReport {
        bytes: vec![0; MAX_DEMAND_REPORT_BYTES + 1],
    });
    let message = Frame::from(Reached {
        held: 1,
        revision: 1,
        hosts: vec![0; MAX_DEMAND_REPORT_BYTES + 1],
    });
    let mut bad_message = header(0x9d, 1, 10, 3, 0);
    bad_message.put_slice(&[0xff, 0xff, 0xff]);
    let cases = [
        (header(b'G', 1, 1, 0, 0), "starts with byte 0x47"),
        (BytesMut::from(&b"x"[..]), "starts with byte 0x78"),
        (header(0x9d, 0, 1, 0, 0), "version 0"),
        (
            header(0x9d, 1, 1, 1 << 30, 0),
            "message of 1073741824 bytes is too long, at most 4096",
        ),
        (
            header(0x9d, 1, 1, 0, 1 << 30),
            "body of 1073741824 bytes is too long, at most 65536",
        ),
        (
            wire(&long),
            "demand report of 257 bytes is too long, at most 256",
        ),
        (bad_message, "message of kind 10 cannot be decoded"),
        (
            wire(&message),
            "revision notice of 257 bytes is too long, at most 256",
        ),
    ];
    for (mut bytes, wanted) in cases {
        let before = bytes.capacity();
        let decoded = decode(&mut bytes, BOUNDS).unwrap_err().to_string();
        assert!(decoded.contains(wanted), "{decoded}");
        assert!(
            bytes.capacity() <= before,
            "nothing is set aside for a length that is refused"
        );
    }
}

#[test]
fn a_newer_version_is_understood_as_far_as_it_goes() {
    // A kind from the future, with a body, is one frame that is skipped whole.
    let mut buf = header(0x9d, 9, 777, 2, 3);
    buf.put_slice(&[1, 2, 3, 4, 5]);
    buf.put_slice(&wire(&submit(8, 0)));
    let newer = decode(&mut buf, BOUNDS).unwrap().unwrap();
    assert_eq!(
        (newer.message, newer.body.len()),
        (Message::Newer { kind: 777 }, 3)
    );
    assert_eq!(decode(&mut buf, BOUNDS).unwrap(), Some(submit(8, 0)));
    // A field from the future: number 200, a varint.
    let mut m = vec![0x08, 0x05];
    m.extend([0xc0, 0x0c, 0x2a]);
    let mut buf = header(0x9d, 9, 22, m.len() as u32, 0);
    buf.put_slice(&m);
    assert_eq!(
        decode(&mut buf, BOUNDS).unwrap(),
        Some(Frame::from(Cancel { attempt: 5 }))
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    /// Whatever bytes come, decoding ends, and never takes more than the bounds allow.
    #[test]
    fn garbage_ends_or_waits(bytes in proptest::collection::vec(any::<u8>(), 0..200), tagged in any::<bool>()) {
        let mut buf = BytesMut::from(bytes.as_slice());
        if tagged && !buf.is_empty() {
            buf[0] = 0x9d;
        }
        for _ in 0..=bytes.len() {
            match decode(&mut buf, BOUNDS) {
                Ok(Some(f)) => prop_assert!(f.body.len() <= BOUNDS.body),
                Ok(None) | Err(_) => break,
            }
        }
        prop_assert!(buf.capacity() <= 200 + HEADER_BYTES + BOUNDS.message + BOUNDS.body);
    }
}

/// A header that announces a frame as large as may be has little set aside for it; what has come grows with
/// what came.
#[test]
fn a_header_alone_costs_little() {
    let frame = Frame::from(Withdraw { id: 1 }).with_body(bytes::Bytes::from(vec![5; 8 << 20]));
    let mut wire = bytes::BytesMut::new();
    frame.encode_head(&mut wire);
    wire.extend_from_slice(&frame.body);
    let mut buf = bytes::BytesMut::new();
    for part in wire.chunks(100_000) {
        buf.extend_from_slice(part);
        let come = buf.len();
        if let Some(found) = decode(&mut buf, Bounds::DEFAULT).unwrap() {
            return assert_eq!(found, frame);
        }
        assert!(
            buf.capacity() <= 4 * come + (1 << 20),
            "{} set aside for {come}",
            buf.capacity()
        );
    }
    panic!("the frame never came");
}
