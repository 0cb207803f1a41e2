//! Loopback addresses, sockets, timers and PostgreSQL messages.

use crate::error::RunError;
use async_io::{Async, Timer};
use comethitch_policy::time::{Duration, Timestamp};
pub(super) use comethitch_testkit::postgres::message_type;
use comethitch_testkit::postgres::startup_message;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::time::SystemTime;

/// Maximum number of connections that wait to be accepted by a listener.
const BACKLOG: i32 = 1024;
/// Maximum length of a message.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Length of the length field of a message, which counts itself.
const LENGTH_FIELD_BYTES: usize = 4;
/// Second byte of the addresses of the first 256 routers. Each further 256 routers use the next value.
const FIRST_BLOCK: u8 = 64;

/// A PostgreSQL message.
pub(super) struct Message {
    pub kind: u8,
    pub body: Vec<u8>,
}

/// Purpose of a loopback address of a router. The value is the last byte of the address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// The router connects to hosts here.
    Hosts = 1,
    /// The router listens for clients here.
    Clients = 2,
    /// The router connects to service discovery here.
    Discovery = 3,
}

/// Returns the current time since the Unix epoch.
pub(super) fn now() -> Timestamp {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    Timestamp::from_micros(elapsed.as_micros() as u64)
}

/// Waits for this duration.
pub(super) async fn sleep(duration: Duration) {
    Timer::after(duration.to_std()).await;
}

/// Waits until this time. Returns at once if it has passed.
pub(super) async fn sleep_until(at: Timestamp) {
    sleep(at - now()).await;
}

/// Returns the address of a router for a purpose.
pub(super) fn address(router: usize, purpose: Purpose) -> Ipv4Addr {
    Ipv4Addr::new(127, FIRST_BLOCK + (router >> 8) as u8, router as u8, purpose as u8)
}

/// Returns the router that has this address, or `None` if it is not an address of a router.
fn router_at(address: Ipv4Addr) -> Option<usize> {
    match address.octets() {
        [127, block @ FIRST_BLOCK..=127, low, _] => {
            Some(usize::from(block - FIRST_BLOCK) << 8 | usize::from(low))
        }
        _ => None,
    }
}

/// Returns the router that opened this connection, identified by the address that it connected to.
pub(super) fn connecting_router(stream: &Async<TcpStream>) -> Option<usize> {
    match stream.get_ref().local_addr().ok()?.ip() {
        IpAddr::V4(address) => router_at(address),
        IpAddr::V6(_) => None,
    }
}

/// A listener and its port.
pub(super) struct Listener {
    pub listener: Async<TcpListener>,
    pub port: u16,
}

/// Listens on all loopback addresses, and only on these, at a free port.
pub(super) fn listen() -> Result<Listener, RunError> {
    bind().map_err(RunError::Listen)
}

fn bind() -> io::Result<Listener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    // If this is not permitted, `connecting_router` still rejects connections to other addresses.
    let _ = socket.bind_device(Some(b"lo"));
    socket.bind(&SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)).into())?;
    socket.listen(BACKLOG)?;
    let listener = TcpListener::from(socket);
    let port = listener.local_addr()?.port();
    Ok(Listener { listener: Async::new(listener)?, port })
}

/// Opens a client's connection to a router, and waits until the router has accepted it.
pub(super) async fn connect_client(address: SocketAddr) -> io::Result<Async<TcpStream>> {
    let mut stream = Async::<TcpStream>::connect(address).await?;
    let _ = stream.get_ref().set_nodelay(true);
    stream.write_all(&startup_message()).await?;
    while read_message(&mut stream).await?.kind != message_type::READY_FOR_QUERY {}
    Ok(stream)
}

/// Reads the next message.
pub(super) async fn read_message(stream: &mut Async<TcpStream>) -> io::Result<Message> {
    let mut head = [0; 1 + LENGTH_FIELD_BYTES];
    stream.read_exact(&mut head).await?;
    let [kind, length @ ..] = head;
    let length = u32::from_be_bytes(length) as usize;
    if !(LENGTH_FIELD_BYTES..=MAX_MESSAGE_BYTES).contains(&length) {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut body = vec![0; length - LENGTH_FIELD_BYTES];
    stream.read_exact(&mut body).await?;
    Ok(Message { kind, body })
}
