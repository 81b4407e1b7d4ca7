//! Hostile clients: many that are slow, each on a connection of its own that it opens again when it ends, or few that
//! send as fast as they can ([`super::floods`]).

use super::SHARDS;
use super::floods::{self, Flood};
use super::requests::RequestHead;
use socket2::{Domain, Socket, Type};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout_at};

/// The receive buffer of a client that reads nothing, in bytes.
const SMALL_WINDOW: usize = 2 << 10;
/// The pause before a client connects again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(10);
/// How long a client waits in the middle of a message.
const SILENCE: Duration = Duration::from_secs(30);
/// The largest body, in bytes.
const LARGE_BODY: usize = 64 << 10;

/// The hostile clients of a play.
#[derive(Clone, Copy, Debug)]
pub enum HostileClients {
    None,
    Slow { manner: SlowManner, clients: usize },
    Flood(Flood),
}

/// How a slow client behaves on each of its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlowManner {
    /// Writes 60 KB of body, 20 bytes each 100 ms.
    DripBody,
    /// Stops half way through a large body.
    HalfBody,
    /// Sends all but the last byte of a large body.
    AllButLastByte,
    /// Sends a head of 3,900 fields of 4 bytes that does not end.
    ManyFields,
    /// Sends a head of 50 short fields, its last byte late.
    LateHeadEnd,
    /// Writes a head byte by byte.
    DripHead,
    /// Sends a large body in chunks of a byte, without the last chunk.
    ChunksOfAByte,
    /// Sends a body in chunks of a byte, one each 50 ms.
    DripChunks,
    /// Sends a short chunked body and very many trailers.
    Trailers,
    /// Sends a chunk size with a long extension that does not end.
    ChunkExtension,
    /// Sends 100 requests at once and reads nothing.
    ReadNothing,
    /// Sends a large request with an id of its own, reads nothing and waits.
    LargeRequests,
    /// Sends a complete request, and behind it most of a large one.
    HalfBehindOpen,
    /// Sends a read and leaves with its answer.
    Reads,
    /// Sends a large write and leaves with its answer.
    LargeWrites,
}

impl SlowManner {
    pub const ALL: [SlowManner; 15] = [
        SlowManner::DripBody,
        SlowManner::HalfBody,
        SlowManner::AllButLastByte,
        SlowManner::ManyFields,
        SlowManner::LateHeadEnd,
        SlowManner::DripHead,
        SlowManner::ChunksOfAByte,
        SlowManner::DripChunks,
        SlowManner::Trailers,
        SlowManner::ChunkExtension,
        SlowManner::ReadNothing,
        SlowManner::LargeRequests,
        SlowManner::HalfBehindOpen,
        SlowManner::Reads,
        SlowManner::LargeWrites,
    ];

    /// What a client writes, and the size of the pieces with the pause between them.
    fn bytes(self, id: u64) -> Script {
        let write = RequestHead::write("write", id);
        let read = RequestHead::read(id, id % 16, id % SHARDS);
        let chunked = write.text() + "Transfer-Encoding: chunked\r\n\r\n";
        let large = write.message(LARGE_BODY);
        let fields = |count| read.text() + &"a:\r\n".repeat(count);
        let many_chunks = chunked.clone() + &"1\r\nw\r\n".repeat(LARGE_BODY - 1);
        match self {
            SlowManner::DripBody => Script::drip(write.message(60_000), 20, 100),
            SlowManner::HalfBody => Script::at_once(large[..large.len() / 2].to_vec()),
            SlowManner::AllButLastByte => Script::at_once(large[..large.len() - 1].to_vec()),
            SlowManner::ManyFields => Script::at_once(fields(3900).into_bytes()),
            SlowManner::LateHeadEnd => {
                Script::at_once((fields(50) + "\r").into_bytes()).then(1500, b"\n")
            }
            SlowManner::DripHead => Script::drip((fields(50) + "\r\n").into_bytes(), 1, 10),
            SlowManner::ChunksOfAByte => Script::at_once(many_chunks.into_bytes()),
            SlowManner::DripChunks => Script::drip(many_chunks.into_bytes(), 6, 50),
            SlowManner::Trailers => {
                Script::at_once((chunked + "1\r\nw\r\n0\r\n" + &"a:\r\n".repeat(16_000)).into())
            }
            SlowManner::ChunkExtension => {
                Script::at_once((chunked + "1;" + &"e".repeat(64 << 10)).into())
            }
            SlowManner::ReadNothing => {
                let requests = (0..100).flat_map(|n| {
                    let id = (id << 8) + n;
                    RequestHead::read(id, id % 16, id % SHARDS).message(0)
                });
                Script::at_once(requests.collect())
            }
            SlowManner::LargeRequests => Script::at_once(large),
            SlowManner::Reads | SlowManner::LargeWrites => {
                let one = if self == SlowManner::Reads {
                    read.message(0)
                } else {
                    large
                };
                Script {
                    ends_with_answer: true,
                    ..Script::at_once(one)
                }
            }
            SlowManner::HalfBehindOpen => {
                let next = RequestHead::write("write", id + (1 << 40)).message(LARGE_BODY);
                Script::at_once([read.message(0), next[..next.len() - 1].to_vec()].concat())
            }
        }
    }

    fn reads_nothing(self) -> bool {
        self == SlowManner::ReadNothing || self == SlowManner::LargeRequests
    }
}

/// What a client writes on a connection before it falls silent.
struct Script {
    bytes: Vec<u8>,
    piece: usize,
    pause: Duration,
    /// More bytes after a wait.
    late: Option<(Duration, Vec<u8>)>,
    /// The client ends the connection after the first bytes of an answer.
    ends_with_answer: bool,
}

impl Script {
    fn at_once(bytes: Vec<u8>) -> Script {
        let piece = bytes.len().max(1);
        Script::drip(bytes, piece, 0)
    }

    fn drip(bytes: Vec<u8>, piece: usize, pause_ms: u64) -> Script {
        Script {
            bytes,
            piece,
            pause: Duration::from_millis(pause_ms),
            late: None,
            ends_with_answer: false,
        }
    }

    fn then(mut self, after_ms: u64, bytes: &[u8]) -> Script {
        self.late = Some((Duration::from_millis(after_ms), bytes.to_vec()));
        self
    }
}

/// Plays the hostile clients until `end`. Returns the number of connections, or of messages of a flood.
pub async fn run(host: SocketAddr, clients: HostileClients, end: Instant) -> u64 {
    match clients {
        HostileClients::None => {
            tokio::time::sleep_until(end.into()).await;
            0
        }
        HostileClients::Flood(flood) => floods::run(host, flood, end).await,
        HostileClients::Slow { manner, clients } => {
            let mut tasks = JoinSet::new();
            for number in 0..clients {
                tasks.spawn(run_slow(host, manner, number as u64, end));
            }
            tasks.join_all().await.into_iter().sum()
        }
    }
}

async fn run_slow(host: SocketAddr, manner: SlowManner, number: u64, end: Instant) -> u64 {
    let mut connections = 0;
    while Instant::now() < end {
        connections += 1;
        let script = manner.bytes((number << 20) + connections + 1);
        let one = one_connection(host, script, manner.reads_nothing());
        let _ = timeout_at(end.into(), one).await;
        sleep(RECONNECT_PAUSE).await;
    }
    connections
}

async fn connect(host: SocketAddr, window: Option<usize>) -> std::io::Result<TcpStream> {
    let Some(window) = window else {
        return TcpStream::connect(host).await;
    };
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_recv_buffer_size(window)?;
    socket.connect(&host.into())?;
    socket.set_nonblocking(true)?;
    TcpStream::from_std(socket.into())
}

/// Plays one connection until the host ends it.
async fn one_connection(
    host: SocketAddr,
    script: Script,
    reads_nothing: bool,
) -> std::io::Result<()> {
    let mut stream = connect(host, reads_nothing.then_some(SMALL_WINDOW)).await?;
    stream.set_nodelay(true)?;
    let (mut from, mut to) = stream.split();
    let write = async {
        for piece in script.bytes.chunks(script.piece) {
            to.write_all(piece).await?;
            if !script.pause.is_zero() {
                sleep(script.pause).await;
            }
        }
        if let Some((after, bytes)) = &script.late {
            sleep(*after).await;
            to.write_all(bytes).await?;
        }
        sleep(SILENCE).await;
        Ok(())
    };
    let read = async {
        if reads_nothing {
            sleep(SILENCE).await;
        }
        while from.read(&mut [0; 4096]).await? > 0 && !script.ends_with_answer {}
        Ok(())
    };
    tokio::select! {
        written = write => written,
        read = read => read,
    }
}
