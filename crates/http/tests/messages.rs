//! Decoding of valid, fragmented and malformed messages, and encoding of messages.

use bytes::Bytes;
use gullsail_http::{Bounds, Decoder, Encoder, Fault, Found, Message, StartLine};
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRng, TestRunner};

const BOUNDS: Bounds = Bounds {
    head: 600,
    body: 100,
};

#[derive(Clone, Copy, Debug)]
enum Direction {
    Request,
    Response,
}
use Direction::{Request, Response};

fn decoder(direction: Direction) -> Decoder {
    match direction {
        Request => Decoder::requests(BOUNDS),
        Response => Decoder::responses(BOUNDS),
    }
}

/// The messages decoded from an input, and the fault that ended the decoding, if any.
#[derive(Debug, PartialEq)]
struct Decoded {
    messages: Vec<Message>,
    fault: Option<Fault>,
}

fn decode(direction: Direction, pieces: &[&[u8]]) -> Decoded {
    let mut decoder = decoder(direction);
    let mut messages = Vec::new();
    for piece in pieces {
        decoder.feed(piece);
        loop {
            match decoder.take() {
                Ok(Some(message)) => messages.push(message),
                Ok(None) => break,
                Err(fault) => {
                    return Decoded {
                        messages,
                        fault: Some(fault),
                    };
                }
            }
        }
    }
    Decoded {
        messages,
        fault: None,
    }
}

/// Valid input with the expected bodies of its messages.
struct ValidInput {
    direction: Direction,
    text: &'static str,
    bodies: &'static [&'static str],
}

const fn valid(
    direction: Direction,
    text: &'static str,
    bodies: &'static [&'static str],
) -> ValidInput {
    ValidInput {
        direction,
        text,
        bodies,
    }
}

const VALID: [ValidInput; 9] = [
    valid(Request, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", &[""]),
    valid(
        Request,
        "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
        &["", ""],
    ),
    valid(
        Request,
        "PUT /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello",
        &["hello"],
    ),
    valid(
        Request,
        "PUT /a HTTP/1.1\r\ncontent-length: 0\r\n\r\n",
        &[""],
    ),
    valid(
        Request,
        "PUT / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n3\r\nabc\r\nA;x=1\r\n0123456789\r\n0\r\nT: 1\r\n\r\n",
        &["abc0123456789"],
    ),
    valid(
        Response,
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        &["ok"],
    ),
    valid(
        Response,
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        &["ok"],
    ),
    valid(Response, "HTTP/1.1 204 No Content\r\n\r\n", &[""]),
    valid(
        Response,
        "HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
        &["x"],
    ),
];

#[test]
fn fragmentation_does_not_change_what_is_decoded() {
    for ValidInput {
        direction,
        text,
        bodies,
    } in VALID
    {
        let bytes = text.as_bytes();
        let complete = decode(direction, &[bytes]);
        let found: Vec<_> = complete
            .messages
            .iter()
            .map(|message| message.body.as_ref())
            .collect();
        let expected: Vec<_> = bodies.iter().map(|body| body.as_bytes()).collect();
        assert_eq!(found, expected, "{text}");
        assert_eq!(complete.fault, None, "{text}");
        for cut in 0..=bytes.len() {
            assert_eq!(
                decode(direction, &[&bytes[..cut], &bytes[cut..]]),
                complete,
                "{text} cut at {cut}"
            );
        }
        let single: Vec<_> = bytes.chunks(1).collect();
        assert_eq!(decode(direction, &single), complete, "{text} by bytes");
        let mut decoder = decoder(direction);
        decoder.feed(bytes);
        bodies.iter().for_each(|_| _ = decoder.take());
        assert!(
            decoder.is_empty() && decoder.buffered_bytes() == 0,
            "{text}: the buffer is empty"
        );
    }
}

fn assert_fault(direction: Direction, text: &str, fault: Fault) {
    let expected = Decoded {
        messages: Vec::new(),
        fault: Some(fault),
    };
    assert_eq!(decode(direction, &[text.as_bytes()]), expected, "{text}");
}

#[test]
fn malformed_heads_are_faults() {
    let long = format!("GET / HTTP/1.1\r\nA: {}\r\n\r\n", "x".repeat(700));
    let endless = "x".repeat(700);
    let lines = format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(70));
    let cases = [
        ("\u{1}\u{2}\u{3} rubbish\r\n\r\n", Fault::Malformed),
        ("GET / HTTP/1.0\r\n\r\n", Fault::Version),
        ("GET / HTTP/2.0\r\n\r\n", Fault::Version),
        ("GET / HTTP/1.1\r\nA : b\r\n\r\n", Fault::Malformed),
        (
            "GET / HTTP/1.1\r\nA: b\r\n folded\r\n\r\n",
            Fault::Malformed,
        ),
        ("GET / HTTP/1.1\r\nA: b\rc\r\n\r\n", Fault::Malformed),
        ("GET / HTTP/1.1\r\nA: \0\r\n\r\n", Fault::Malformed),
        ("GET / HTTP/1.1\r\nno colon\r\n\r\n", Fault::Malformed),
        (&long, Fault::HeadTooLong),
        (&endless, Fault::HeadTooLong),
        (&lines, Fault::TooManyHeaders),
    ];
    for (text, fault) in cases {
        assert_fault(Request, text, fault);
    }
}

#[test]
fn ambiguous_framing_is_a_fault() {
    let cases = [
        (
            "Content-Length: 3\r\nTransfer-Encoding: chunked",
            Fault::ConflictingFraming,
        ),
        (
            "Content-Length: 3\r\nContent-Length: 3",
            Fault::ConflictingFraming,
        ),
        ("Content-Length: -1", Fault::InvalidLength),
        ("Content-Length: +1", Fault::InvalidLength),
        ("Content-Length: 1, 1", Fault::InvalidLength),
        ("Content-Length: 0x10", Fault::InvalidLength),
        ("Content-Length:", Fault::InvalidLength),
        ("Content-Length: 101", Fault::BodyTooLong),
        (
            "Content-Length: 99999999999999999999999",
            Fault::BodyTooLong,
        ),
        ("Transfer-Encoding: gzip", Fault::TransferCoding),
        ("Transfer-Encoding: gzip, chunked", Fault::TransferCoding),
        (
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
            Fault::TransferCoding,
        ),
    ];
    for (fields, fault) in cases {
        let text = format!("PUT / HTTP/1.1\r\n{fields}\r\n\r\n");
        assert_fault(Request, &text, fault);
    }
}

#[test]
fn malformed_chunks_are_faults() {
    let cases = [
        ("zz\r\n", Fault::Chunk),
        ("-1\r\n", Fault::Chunk),
        ("\r\n", Fault::Chunk),
        ("3\nabc\r\n", Fault::Chunk),
        ("3\r\nabcd\r\n", Fault::Chunk),
        ("65\r\n", Fault::BodyTooLong),
        ("ffffffffffffffff\r\n", Fault::Chunk),
        (&format!("0\r\n{}", "T: 1\r\n".repeat(17)), Fault::Chunk),
        (&"1".repeat(300), Fault::Chunk),
    ];
    for (chunks, fault) in cases {
        let text = format!("PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}");
        assert_fault(Request, &text, fault);
    }
}

#[test]
fn malformed_responses_are_faults() {
    let interim = "HTTP/1.1 100 C\r\n\r\n".repeat(9);
    let cases = [
        ("noise", Fault::Version),
        ("HTTP/1.1 200 OK\r\n\r\nno length", Fault::MissingLength),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
            Fault::BodyTooLong,
        ),
        (&interim, Fault::TooManyInterimResponses),
    ];
    for (text, fault) in cases {
        assert_fault(Response, text, fault);
    }
}

#[test]
fn an_incomplete_head_is_a_fault_once_it_exceeds_its_bound() {
    let mut input = decoder(Request);
    input.feed(&[b'x'; 600]);
    assert_eq!(input.take(), Ok(None));
    input.feed(b"x");
    assert_eq!(input.take(), Err(Fault::HeadTooLong));
}

#[test]
fn header_fields_are_found_in_any_case_and_repeated_ones_reported() {
    let Decoded { messages, .. } = decode(
        Request,
        &[b"GET /x?q HTTP/1.1\r\nAb: 1\r\nc: 2\r\nC: 3\r\nConnection: x, Close\r\n\r\n"],
    );
    let message = &messages[0];
    assert_eq!(
        (message.field("aB"), message.field("C"), message.field("d")),
        (Found::One(b"1"), Found::Multiple, Found::None)
    );
    assert!(!message.keep_alive && !message.framed);
    let start = StartLine::Request {
        method: Bytes::from("GET"),
        target: Bytes::from("/x?q"),
    };
    assert_eq!(message.start, start);
}

#[test]
fn encoded_messages_are_decoded_unchanged() {
    let text = Encoder::request(b"PUT", b"/a?b")
        .field("A", b"b")
        .number("N", 7)
        .body(Bytes::from_static(b"hello"))
        .to_vec();
    let Decoded { messages, fault } = decode(Request, &[&text]);
    assert_eq!(
        (messages.len(), fault, messages[0].body.as_ref()),
        (1, None, &b"hello"[..])
    );
    assert_eq!(
        (messages[0].field("n"), messages[0].framed),
        (Found::One(b"7"), true)
    );
    let Decoded { messages, .. } = decode(
        Request,
        &[&Encoder::request(b"GET", b"/").without_body().to_vec()],
    );
    assert!(!messages[0].framed);
    let Decoded { messages, .. } = decode(
        Response,
        &[&Encoder::response(503, "No").body(Bytes::new()).to_vec()],
    );
    assert_eq!(messages[0].start, StartLine::Response { status: 503 });
}

#[test]
fn random_input_neither_panics_nor_exceeds_the_bounds() {
    let config = Config {
        cases: 2000,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::from_seed(Default::default(), &[7; 32]));
    let fragment = prop::sample::select(vec![
        "GET / HTTP/1.1\r\n",
        "HTTP/1.1 200 OK\r\n",
        "Content-Length: 3\r\n",
        "Transfer-Encoding: chunked\r\n",
        "\r\n",
        "abc",
        "3\r\n",
        "0\r\n\r\n",
        "\0",
        "\n",
        ": ",
        "99999999\r\n",
    ]);
    let direction =
        any::<bool>().prop_map(|is_response| if is_response { Response } else { Request });
    let noise = (direction, prop::collection::vec(fragment, 0..40));
    let run = runner.run(&noise, |(direction, fragments)| {
        let mut input = decoder(direction);
        for fragment in fragments {
            input.feed(fragment.as_bytes());
            while let Ok(Some(_)) = input.take() {}
            if input.take().is_err() {
                break;
            }
            prop_assert!(input.buffered_bytes() <= BOUNDS.head + BOUNDS.body);
        }
        Ok(())
    });
    run.unwrap();
}

/// A long body is a part of its own, so that it need not be copied; a short one is written with its head.
#[test]
fn messages_with_bodies_of_any_length_are_encoded_completely() {
    for length in [0, 1, 8 << 10, (8 << 10) + 1, 64 << 10] {
        let body = Bytes::from(vec![b'x'; length]);
        let message = Encoder::response(200, "OK").body(body.clone());
        let [head, rest] = message.clone().into_parts();
        assert_eq!([head, rest.clone()].concat(), message.to_vec());
        assert_eq!(rest.is_empty(), length <= 8 << 10, "{length}");
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        assert_eq!(message.to_vec(), [head.as_bytes(), &body].concat());
    }
}
