//! The kernel's view of the host's connections: whether the host has read all input of a connection, and whether it has
//! closed it. An answer on another connection proves neither, since the host reads its connections in any order.

use crate::rig::{Host, SOON};
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// One end of a connection, as `/proc/net/tcp` lists it.
struct SocketRow {
    /// Bytes sent and not yet acknowledged.
    unacknowledged: u64,
    /// Bytes received and not yet read.
    unread: u64,
    /// Identifies the socket among the descriptors of its process.
    inode: u64,
}

/// An address as `/proc/net/tcp` writes it.
fn kernel_address(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else {
        panic!("IPv4 is expected");
    };
    let ip = u32::from_le_bytes(address.ip().octets());
    format!("{ip:08X}:{:04X}", address.port())
}

/// The connections of a host's clients that the kernel lists at one moment, a line for each end. Reading them takes long
/// when many connections were closed in the last minute.
struct SocketTable {
    lines: Vec<String>,
}

impl SocketTable {
    fn read(host: &Host) -> SocketTable {
        let address = kernel_address(host.address);
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let lines = table.lines().filter(|line| line.contains(&address));
        SocketTable {
            lines: lines.map(String::from).collect(),
        }
    }

    /// The row of a connection's end at `local`; `None`: the kernel lists none.
    fn row(&self, local: SocketAddr, remote: SocketAddr) -> Option<SocketRow> {
        let ends = (kernel_address(local), kernel_address(remote));
        self.lines.iter().find_map(|line| {
            let columns: Vec<&str> = line.split_whitespace().collect();
            if *columns.get(1)? != ends.0 || *columns.get(2)? != ends.1 {
                return None;
            }
            let (unacknowledged, unread) = columns.get(4)?.split_once(':')?;
            Some(SocketRow {
                unacknowledged: u64::from_str_radix(unacknowledged, 16).ok()?,
                unread: u64::from_str_radix(unread, 16).ok()?,
                inode: columns.get(9)?.parse().ok()?,
            })
        })
    }

    /// The host's end of a client's connection, if the host has accepted it and read all that the client has sent.
    fn read_by_host(&self, host: &Host, client: &BufReader<TcpStream>) -> Option<HostSocket> {
        let client_address = client.get_ref().local_addr().unwrap();
        let sent = self.row(client_address, host.address)?;
        let received = self.row(host.address, client_address)?;
        let all_read = sent.unacknowledged == 0 && received.unread == 0 && received.inode != 0;
        all_read.then_some(HostSocket {
            inode: received.inode,
        })
    }
}

fn wait_until(error: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + SOON;
    while !holds() {
        assert!(Instant::now() < end, "{error}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// The host's end of a client's connection.
pub struct HostSocket {
    inode: u64,
}

impl HostSocket {
    /// Waits until the host has accepted these connections and read all that the clients have sent. All are looked for
    /// in the same table: the host closes connections that are idle for two seconds.
    pub fn when_read<'a>(
        host: &Host,
        clients: impl IntoIterator<Item = &'a BufReader<TcpStream>> + Clone,
    ) -> Vec<HostSocket> {
        let mut sockets = None;
        wait_until("the host does not read", || {
            let table = SocketTable::read(host);
            let read = clients.clone().into_iter();
            sockets = read
                .map(|client| table.read_by_host(host, client))
                .collect();
            sockets.is_some()
        });
        sockets.unwrap_or_default()
    }

    /// Waits until the host has closed the socket. The host closes it after it has read the end of the connection, and
    /// its core processes that end before any later event.
    pub fn wait_until_closed(&self, host: &Host) {
        let name = format!("socket:[{}]", self.inode);
        wait_until("the host does not close the connection", || {
            let descriptors = std::fs::read_dir(format!("/proc/{}/fd", host.child.id())).unwrap();
            let mut targets = descriptors.flatten().map(|entry| entry.path().read_link());
            !targets.any(|target| target.is_ok_and(|target| target.as_os_str() == name.as_str()))
        });
    }
}
