//! A TCP connection whose system calls may fail for a moment: interrupted ones are made again, and one that can't be
//! opened for a shortage of this machine is tried again shortly.
//!
//! Linux lets any read, write, peek or poll return `EINTR`, and a new socket may meet a shortage of descriptors,
//! buffers or ports. None of that says anything of the peer, so no error of this kind leaves this module before it
//! was tried again.

use async_io::{Async, Timer};
use futures_lite::{AsyncRead, AsyncWrite};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use rustix::net::sockopt;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io::{self, ErrorKind, Read};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpStream};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

/// A request of more bytes than this may not fit into what its host has room for.
const LONG_REQUEST_BYTES: usize = 4096;
/// The system holds about so much back of what was written, in bytes.
const SEND_BUFFER_BYTES: usize = 16 * 1024;
/// How long is waited before each further try to open a connection that met a momentary failure of this machine.
const CONNECT_RETRY_WAITS: [Duration; 5] = [
    Duration::from_millis(1),
    Duration::from_millis(2),
    Duration::from_millis(4),
    Duration::from_millis(8),
    Duration::from_millis(16),
];

/// Makes a call again for as long as it is interrupted.
///
/// # Errors
/// Any other error of the call.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Whether an error tells of a shortage of this machine (descriptors, buffers, ports) and nothing of any peer.
pub fn is_local_shortage(error: &io::Error) -> bool {
    let shortages = [
        Errno::INTR,
        Errno::AGAIN,
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::ADDRNOTAVAIL,
    ];
    Errno::from_io_error(error).is_some_and(|errno| shortages.contains(&errno))
}

/// Whether an attempt to connect that ended so may succeed a moment later.
fn may_pass(error: &io::Error) -> bool {
    is_local_shortage(error) || Errno::from_io_error(error) == Some(Errno::NETUNREACH)
}

/// Why not all bytes were written.
#[derive(Debug)]
pub enum WriteError<R> {
    /// The check refused to go on, before the last byte was handed to the system.
    Refused(R),
    /// The connection failed.
    Io(io::Error),
}

/// A TCP connection.
#[derive(Debug)]
pub struct Socket {
    stream: Async<TcpStream>,
    /// A long request was written, and nothing was read since: the system may still hold a part of it.
    unconfirmed: Cell<bool>,
}

impl Socket {
    /// Takes over an open connection; small writes go out at once.
    pub fn new(stream: Async<TcpStream>) -> Socket {
        // Without it, answers are late, not wrong.
        let _ = stream.get_ref().set_nodelay(true);
        Socket { stream, unconfirmed: Cell::new(false) }
    }

    /// Connects to an address.
    ///
    /// # Errors
    /// If the connection is refused or fails, or a momentary failure of this machine lasts.
    pub async fn connect(address: SocketAddr) -> io::Result<Socket> {
        for wait in CONNECT_RETRY_WAITS {
            match Async::<TcpStream>::connect(address).await {
                Err(error) if may_pass(&error) => Timer::after(wait).await,
                result => return result.map(Socket::new),
            };
        }
        Async::<TcpStream>::connect(address).await.map(Socket::new)
    }

    /// The address of the other end.
    pub fn peer_ip(&self) -> Option<IpAddr> {
        self.stream.get_ref().peer_addr().ok().map(|address| address.ip())
    }

    /// Looks at bytes that wait to be read, without waiting for any; 0 is the end of the stream.
    ///
    /// # Errors
    /// `WouldBlock` if none wait, and the connection's own errors.
    pub fn peek(&self, buffer: &mut [u8]) -> io::Result<usize> {
        retry_interrupted(|| self.stream.get_ref().peek(buffer))
    }

    /// Whether bytes wait to be read.
    pub fn has_input(&self) -> bool {
        self.peek(&mut [0]).is_ok_and(|length| length > 0)
    }

    /// Whether there is nothing to read, and neither an end nor an error.
    pub fn is_quiet(&self) -> bool {
        self.peek(&mut [0]).is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    /// Whether the peer has closed the connection or its sending half, or the connection was reset; also behind bytes
    /// that are not read yet.
    pub fn has_ended(&self) -> bool {
        match self.peek(&mut [0]) {
            Ok(0) => true,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
            // Behind bytes that are not read only the system sees the end.
            Ok(_) => self.is_hung_up(),
        }
    }

    fn is_hung_up(&self) -> bool {
        let hang_up = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let mut polled = [PollFd::new(&self.stream, hang_up)];
        let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
        let ready = retry_interrupted(|| Ok(poll(&mut polled, Some(&at_once))?));
        ready.is_ok_and(|number| number > 0) && polled[0].revents().intersects(hang_up)
    }

    /// Waits for bytes and reads them into a buffer that is borrowed only for the call; 0 is the end of the stream.
    ///
    /// # Errors
    /// The connection's own.
    pub async fn read_into(&self, buffer: &RefCell<Vec<u8>>) -> io::Result<usize> {
        loop {
            self.stream.readable().await?;
            match retry_interrupted(|| self.stream.get_ref().read(&mut buffer.borrow_mut())) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                result => return result,
            }
        }
    }

    /// Writes all of the bytes, and asks `check` right before each call that may hand the last one to the system: a
    /// peer that reads slowly can hold a write up for long.
    ///
    /// # Errors
    /// The refusal, or the connection's own error. In both cases the last byte was not written.
    pub async fn write_checked<R>(
        &self, bytes: &[u8], check: impl Fn() -> Result<(), R>,
    ) -> Result<(), WriteError<R>> {
        let mut written = 0;
        while written < bytes.len() {
            let rest = &bytes[written..];
            written += poll_fn(|context| {
                check().map_err(WriteError::Refused)?;
                Pin::new(&mut &*self).poll_write(context, rest).map_err(WriteError::Io)
            })
            .await?;
        }
        self.unconfirmed.set(bytes.len() > LONG_REQUEST_BYTES);
        Ok(())
    }

    /// Limits how much that was written the system holds back from a peer that reads slowly.
    pub fn limit_send_buffer(&self) {
        // Without the limit, a check before a write says less of when its last byte leaves.
        let _ = sockopt::set_socket_send_buffer_size(&self.stream, SEND_BUFFER_BYTES);
    }

    /// Ends the sending half.
    ///
    /// # Errors
    /// If the connection is broken.
    pub fn shut_down_write(&self) -> io::Result<()> {
        self.stream.get_ref().shutdown(Shutdown::Write)
    }
}

impl AsyncRead for &Socket {
    fn poll_read(
        self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            match ready!(Pin::new(&mut &self.stream).poll_read(context, buffer)) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                result => {
                    self.unconfirmed.set(false);
                    return Poll::Ready(result);
                }
            }
        }
    }
}

/// A request that is given up is not delivered behind its connection's end: what the system still holds of it is dropped.
impl Drop for Socket {
    fn drop(&mut self) {
        if self.unconfirmed.get() {
            let _ = sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO));
        }
    }
}

impl AsyncWrite for &Socket {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            match ready!(Pin::new(&mut &self.stream).poll_write(context, bytes)) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Nothing is buffered here.
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.shut_down_write())
    }
}
