//! What the codec makes of sound, cut and malformed messages.

use bytes::Bytes;
use gullsail_http::{Bounds, Decoder, Encoder, Fault, Found, Message, Start};
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRng, TestRunner};

const BOUNDS: Bounds = Bounds {
    head: 600,
    body: 100,
};

fn decoder(answers: bool) -> Decoder {
    if answers {
        Decoder::answers(BOUNDS)
    } else {
        Decoder::requests(BOUNDS)
    }
}

/// All that comes of these pieces, and what ended it.
fn decode(answers: bool, pieces: &[&[u8]]) -> (Vec<Message>, Option<Fault>) {
    let (mut input, mut messages) = (decoder(answers), Vec::new());
    for piece in pieces {
        input.feed(piece);
        loop {
            match input.take() {
                Ok(Some(message)) => messages.push(message),
                Ok(None) => break,
                Err(fault) => return (messages, Some(fault)),
            }
        }
    }
    (messages, None)
}

const VALID: [(bool, &str, &[&str]); 9] = [
    (false, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", &[""]),
    (
        false,
        "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
        &["", ""],
    ),
    (
        false,
        "PUT /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello",
        &["hello"],
    ),
    (false, "PUT /a HTTP/1.1\r\ncontent-length: 0\r\n\r\n", &[""]),
    (
        false,
        "PUT / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n3\r\nabc\r\nA;x=1\r\n0123456789\r\n0\r\nT: 1\r\n\r\n",
        &["abc0123456789"],
    ),
    (
        true,
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        &["ok"],
    ),
    (
        true,
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        &["ok"],
    ),
    (true, "HTTP/1.1 204 No Content\r\n\r\n", &[""]),
    (
        true,
        "HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
        &["x"],
    ),
];

#[test]
fn every_message_is_the_same_however_it_is_cut() {
    for (answers, text, bodies) in VALID {
        let bytes = text.as_bytes();
        let whole = decode(answers, &[bytes]);
        let found: Vec<_> = whole
            .0
            .iter()
            .map(|message| message.body.as_ref())
            .collect();
        assert_eq!(
            (found, whole.1),
            (bodies.iter().map(|b| b.as_bytes()).collect(), None),
            "{text}"
        );
        for cut in 0..=bytes.len() {
            assert_eq!(
                decode(answers, &[&bytes[..cut], &bytes[cut..]]),
                whole,
                "{text} cut at {cut}"
            );
        }
        let single: Vec<_> = bytes.chunks(1).collect();
        assert_eq!(decode(answers, &single), whole, "{text} by bytes");
        let mut input = decoder(answers);
        input.feed(bytes);
        bodies.iter().for_each(|_| _ = input.take());
        assert!(
            input.is_empty() && input.holds() == 0,
            "{text}: nothing is left"
        );
    }
}

#[test]
fn malformed_messages_have_a_named_fault() {
    let long = format!("GET / HTTP/1.1\r\nA: {}\r\n\r\n", "x".repeat(700));
    let endless = "x".repeat(700);
    let lines = format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(70));
    let interim = "HTTP/1.1 100 C\r\n\r\n".repeat(9);
    let put = |fields: &str| format!("PUT / HTTP/1.1\r\n{fields}\r\n\r\n");
    let chunks =
        |chunks: &str| format!("PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}");
    let cases = [
        (
            false,
            "\u{1}\u{2}\u{3} rubbish\r\n\r\n".into(),
            Fault::Unreadable,
        ),
        (false, "GET / HTTP/1.0\r\n\r\n".into(), Fault::Version),
        (false, "GET / HTTP/2.0\r\n\r\n".into(), Fault::Version),
        (
            false,
            "GET / HTTP/1.1\r\nA : b\r\n\r\n".into(),
            Fault::Unreadable,
        ),
        (
            false,
            "GET / HTTP/1.1\r\nA: b\r\n folded\r\n\r\n".into(),
            Fault::Unreadable,
        ),
        (
            false,
            "GET / HTTP/1.1\r\nA: b\rc\r\n\r\n".into(),
            Fault::Unreadable,
        ),
        (
            false,
            "GET / HTTP/1.1\r\nA: \0\r\n\r\n".into(),
            Fault::Unreadable,
        ),
        (
            false,
            "GET / HTTP/1.1\r\nno colon\r\n\r\n".into(),
            Fault::Unreadable,
        ),
        (false, long, Fault::HeadTooLong),
        (false, endless, Fault::HeadTooLong),
        (false, lines, Fault::TooManyLines),
        (
            false,
            put("Content-Length: 3\r\nTransfer-Encoding: chunked"),
            Fault::ConflictingFraming,
        ),
        (
            false,
            put("Content-Length: 3\r\nContent-Length: 3"),
            Fault::ConflictingFraming,
        ),
        (false, put("Content-Length: -1"), Fault::BadLength),
        (false, put("Content-Length: +1"), Fault::BadLength),
        (false, put("Content-Length: 1, 1"), Fault::BadLength),
        (false, put("Content-Length: 0x10"), Fault::BadLength),
        (false, put("Content-Length:"), Fault::BadLength),
        (false, put("Content-Length: 101"), Fault::BodyTooLong),
        (
            false,
            put("Content-Length: 99999999999999999999999"),
            Fault::BodyTooLong,
        ),
        (false, put("Transfer-Encoding: gzip"), Fault::Coding),
        (
            false,
            put("Transfer-Encoding: gzip, chunked"),
            Fault::Coding,
        ),
        (
            false,
            put("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"),
            Fault::Coding,
        ),
        (false, chunks("zz\r\n"), Fault::Chunk),
        (false, chunks("-1\r\n"), Fault::Chunk),
        (false, chunks("\r\n"), Fault::Chunk),
        (false, chunks("3\nabc\r\n"), Fault::Chunk),
        (false, chunks("3\r\nabcd\r\n"), Fault::Chunk),
        (false, chunks("65\r\n"), Fault::BodyTooLong),
        (false, chunks("ffffffffffffffff\r\n"), Fault::Chunk),
        (
            false,
            chunks(&format!("0\r\n{}", "T: 1\r\n".repeat(17))),
            Fault::Chunk,
        ),
        (false, chunks(&"1".repeat(300)), Fault::Chunk),
        (true, "noise".into(), Fault::Version),
        (
            true,
            "HTTP/1.1 200 OK\r\n\r\nno length".into(),
            Fault::NoLength,
        ),
        (
            true,
            "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n".into(),
            Fault::BodyTooLong,
        ),
        (true, interim, Fault::Interim),
    ];
    for (answers, text, fault) in cases {
        let (messages, found) = decode(answers, &[text.as_bytes()]);
        assert_eq!((messages.len(), found), (0, Some(fault)), "{text}");
    }
}

#[test]
fn an_endless_head_is_a_fault_at_its_bound_and_not_before() {
    let mut input = decoder(false);
    input.feed(&[b'x'; 600]);
    assert_eq!(input.take(), Ok(None));
    input.feed(b"x");
    assert_eq!(input.take(), Err(Fault::HeadTooLong));
}

#[test]
fn fields_are_found_whatever_their_case_and_doubles_are_seen() {
    let (messages, _) = decode(
        false,
        &[b"GET /x?q HTTP/1.1\r\nAb: 1\r\nc: 2\r\nC: 3\r\nConnection: x, Close\r\n\r\n"],
    );
    let message = &messages[0];
    assert_eq!(
        (message.field("aB"), message.field("C"), message.field("d")),
        (Found::One(b"1"), Found::Several, Found::None)
    );
    assert!(!message.stays && !message.framed);
    let start = Start::Request {
        method: Bytes::from("GET"),
        target: Bytes::from("/x?q"),
    };
    assert_eq!(message.start, start);
}

#[test]
fn what_is_written_is_read_back() {
    let text = Encoder::request(b"PUT", b"/a?b")
        .field("A", b"b")
        .number("N", 7)
        .body(b"hello");
    let (messages, fault) = decode(false, &[&text]);
    assert_eq!(
        (messages.len(), fault, messages[0].body.as_ref()),
        (1, None, &b"hello"[..])
    );
    assert_eq!(
        (messages[0].field("n"), messages[0].framed),
        (Found::One(b"7"), true)
    );
    let (messages, _) = decode(false, &[&Encoder::request(b"GET", b"/").bare()]);
    assert!(!messages[0].framed);
    let (messages, _) = decode(true, &[&Encoder::answer(503, "No").body(b"")]);
    assert_eq!(messages[0].start, Start::Answer { status: 503 });
}

#[test]
fn noise_neither_panics_nor_piles_up() {
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
    let noise = (any::<bool>(), prop::collection::vec(fragment, 0..40));
    let run = runner.run(&noise, |(answers, fragments)| {
        let mut input = decoder(answers);
        for fragment in fragments {
            input.feed(fragment.as_bytes());
            while let Ok(Some(_)) = input.take() {}
            if input.take().is_err() {
                break;
            }
            prop_assert!(input.holds() <= BOUNDS.head + BOUNDS.body);
        }
        Ok(())
    });
    run.unwrap();
}
