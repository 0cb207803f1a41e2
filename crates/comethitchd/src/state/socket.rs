//! A TCP connection that retries interrupted system calls, and connection attempts that failed for lack of
//! local resources.
//!
//! Linux may return `EINTR` from any read, write, peek or poll, and descriptors, buffers or ports may run
//! short when a connection is opened. Such errors are not caused by the peer, so they are retried here before
//! they are returned.

use super::task_budget;
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
use std::time::{Duration, Instant};

/// Maximum size of a request that is certain to fit into the receive buffer of its host. A part of a larger
/// one may remain in the send buffer.
const MAX_BUFFERED_REQUEST_BYTES: usize = 4096;
/// Size of the send buffer of connections to hosts.
const SEND_BUFFER_BYTES: usize = 16 * 1024;
/// Maximum number of unread bytes with which the end of the stream is certain to be noticed. If more are unread, the
/// receive buffer may be full, and the end of the stream then waits at the peer. Linux advertises at least twice as
/// much with its default buffer.
const MAX_CERTAIN_UNREAD_BYTES: u64 = 16 * 1024;
/// Delay before each retry of a connection attempt that failed for a transient local error.
const CONNECT_BACKOFF: [Duration; 5] = [
    Duration::from_millis(1),
    Duration::from_millis(2),
    Duration::from_millis(4),
    Duration::from_millis(8),
    Duration::from_millis(16),
];

/// Repeats a call for as long as it fails with `EINTR`.
///
/// # Errors
///
/// Any other error of the call.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Repeats a poll for as long as it fails with `EINTR`.
fn poll_uninterrupted<T>(mut poll: impl FnMut() -> Poll<io::Result<T>>) -> Poll<io::Result<T>> {
    loop {
        match poll() {
            Poll::Ready(Err(error)) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Returns whether an error was caused by a shortage of the local machine (descriptors, buffers, ports) and
/// not by the peer.
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

fn is_transient(error: &io::Error) -> bool {
    is_local_shortage(error) || Errno::from_io_error(error) == Some(Errno::NETUNREACH)
}

/// Why not all bytes were written.
#[derive(Debug)]
pub enum WriteError<R> {
    /// The check refused to continue before the last byte was passed to the system.
    Refused(R),
    /// The connection failed.
    Io(io::Error),
}

/// A TCP connection.
#[derive(Debug)]
pub struct Socket {
    stream: Async<TcpStream>,
    /// Whether a large request was written and nothing has been read since. A part of it may still be in the
    /// send buffer.
    may_have_unsent_bytes: Cell<bool>,
    /// When the peer was last known to be connected.
    seen_connected_at: Cell<Instant>,
}

impl Socket {
    /// Wraps an open connection, and disables the delay of small writes (Nagle's algorithm).
    pub fn new(stream: Async<TcpStream>) -> Socket {
        // If this fails, answers are only delayed.
        let _ = stream.get_ref().set_nodelay(true);
        Socket {
            stream,
            may_have_unsent_bytes: Cell::new(false),
            seen_connected_at: Cell::new(Instant::now()),
        }
    }

    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// If the connection is refused or fails, or a transient local error persists.
    pub async fn connect(address: SocketAddr) -> io::Result<Socket> {
        for delay in CONNECT_BACKOFF {
            match Async::<TcpStream>::connect(address).await {
                Err(error) if is_transient(&error) => Timer::after(delay).await,
                result => return result.map(Socket::new),
            };
        }
        Async::<TcpStream>::connect(address).await.map(Socket::new)
    }

    /// Returns the IP address of the peer, or `None` if it can't be determined.
    pub fn peer_ip(&self) -> Option<IpAddr> {
        self.stream.get_ref().peer_addr().ok().map(|address| address.ip())
    }

    /// Copies received bytes without consuming them, and does not wait for any. Returns 0 at the end of the
    /// stream.
    ///
    /// # Errors
    ///
    /// `WouldBlock` if there are none, and the connection's own errors.
    pub fn peek(&self, buffer: &mut [u8]) -> io::Result<usize> {
        retry_interrupted(|| self.stream.get_ref().peek(buffer))
    }

    /// Returns whether there are bytes to read.
    pub fn has_input(&self) -> bool {
        self.peek(&mut [0]).is_ok_and(|length| length > 0)
    }

    /// Returns whether there is nothing to read: no bytes, no end of the stream and no error.
    pub fn has_nothing_to_read(&self) -> bool {
        self.peek(&mut [0]).is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    /// Returns whether the peer has closed the connection or its sending half, or the connection was reset,
    /// even if bytes that arrived before are still unread.
    pub fn has_ended(&self) -> bool {
        match self.peek(&mut [0]) {
            Ok(0) => true,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
            // A peek does not see the end of the stream while bytes are unread.
            Ok(_) => self.is_hung_up(),
        }
    }

    /// Returns how long the peer may have been disconnected without this having been noticed. It is zero
    /// unless the end of the stream may be stuck behind unread bytes. Writing counts as a
    /// sign of the connection, because a peer that is gone resets the connection in response.
    ///
    /// Must be called after [`Socket::has_ended`] has returned false.
    pub fn unseen_for(&self) -> Duration {
        let unread = rustix::io::ioctl_fionread(&self.stream).unwrap_or(0);
        if unread <= MAX_CERTAIN_UNREAD_BYTES {
            self.seen_connected_at.set(Instant::now());
        }
        self.seen_connected_at.get().elapsed()
    }

    fn is_hung_up(&self) -> bool {
        let hang_up = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let mut polled = [PollFd::new(&self.stream, hang_up)];
        let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
        let ready = retry_interrupted(|| Ok(poll(&mut polled, Some(&no_wait))?));
        ready.is_ok_and(|number| number > 0) && polled[0].revents().intersects(hang_up)
    }

    /// Waits for bytes and reads them into a buffer, which is borrowed only for the system call. Returns 0 at
    /// the end of the stream.
    ///
    /// # Errors
    ///
    /// The connection's own error.
    pub async fn read_into(&self, buffer: &RefCell<Vec<u8>>) -> io::Result<usize> {
        loop {
            task_budget::operation().await;
            self.stream.readable().await?;
            match retry_interrupted(|| self.stream.get_ref().read(&mut buffer.borrow_mut())) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                result => return result,
            }
        }
    }

    /// Writes all bytes. Calls `check` right before each system call that may write the last byte, because a
    /// peer that reads slowly can delay a write for a long time.
    ///
    /// # Errors
    ///
    /// The refusal of `check`, or the connection's own error. In both cases the last byte was not written.
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
        self.may_have_unsent_bytes.set(bytes.len() > MAX_BUFFERED_REQUEST_BYTES);
        Ok(())
    }

    /// Limits how many written bytes the system buffers for a peer that reads slowly.
    pub fn limit_send_buffer(&self) {
        // If this fails, only more time may pass between the check before a write and the sending of the last
        // byte.
        let _ = sockopt::set_socket_send_buffer_size(&self.stream, SEND_BUFFER_BYTES);
    }

    /// Shuts down the sending half of the connection.
    ///
    /// # Errors
    ///
    /// If the connection is broken.
    pub fn shut_down_write(&self) -> io::Result<()> {
        self.stream.get_ref().shutdown(Shutdown::Write)
    }
}

impl AsyncRead for &Socket {
    fn poll_read(
        self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        ready!(task_budget::poll_remaining(context));
        let result = ready!(poll_uninterrupted(|| Pin::new(&mut &self.stream).poll_read(context, buffer)));
        task_budget::charge(result.as_ref().map_or(0, |length| *length));
        self.may_have_unsent_bytes.set(false);
        Poll::Ready(result)
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        // An abandoned request must not be delivered after the close, so the rest of it in the send buffer is
        // discarded.
        if self.may_have_unsent_bytes.get() {
            let _ = sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO));
        }
    }
}

impl AsyncWrite for &Socket {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = poll_uninterrupted(|| Pin::new(&mut &self.stream).poll_write(context, bytes));
        // A write is charged but never delayed: its size is bounded, and its caller takes a pending write as one
        // that waits for the peer.
        if let Poll::Ready(Ok(length)) = written {
            task_budget::charge(length);
            self.seen_connected_at.set(Instant::now());
        }
        written
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Nothing is buffered here.
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.shut_down_write())
    }
}
