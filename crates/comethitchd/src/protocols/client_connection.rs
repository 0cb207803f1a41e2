//! A client's connection, whatever is spoken on it: reading while nothing is in hand, waiting while something is,
//! and how it ends.

use crate::state::arrivals::Arrivals;
use crate::state::buffer::Buffer;
use crate::state::client_registry::ConnectionPhase;
use crate::state::clock::after;
use crate::state::descriptors::DescriptorPermit;
use crate::state::router_state::RouterState;
use crate::state::signals::{CloseRequest, ConnectionSignal};
use crate::wire::MalformedMessage;
use async_io::{Async, Timer};
use comethitch_policy::time::Timestamp;
use futures_lite::{AsyncWriteExt, FutureExt};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::future::Future;
use std::io::{self, Read};
use std::net::{IpAddr, Shutdown, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Once this much of further commands has come in, no more is read before the answer in hand.
const FURTHER: usize = 8 * 1024;
/// While nothing is read, whether the client has gone is looked at this often: what begins a tenth of a second after it
/// went is too late.
const LOOK: Duration = Duration::from_millis(25);
/// What comes behind the last answer on a connection that ends here is read out for this long: closed over unread
/// bytes it would be reset, and what the client has not read yet lost.
const LINGER: Duration = Duration::from_millis(60);
/// A client that has sent this many statements in a row that are no commands is not listened to any more.
const MOST_REJECTED: u32 = 8;

pub struct ClientConnection {
    pub state: Rc<RouterState>,
    pub stream: Async<TcpStream>,
    pub buffer: Buffer,
    pub number: u32,
    /// The client's machine, as a number: its connections share what it may cost.
    pub origin: u64,
    pub notice: Rc<ConnectionSignal>,
    /// When the last byte came that was taken out of the buffer.
    pub arrived: Timestamp,
    arrivals: Arrivals,
    _permit: DescriptorPermit,
    /// A command was answered here, so that the connection may be closed between two.
    pub served: bool,
    /// Statements in a row that were no commands.
    rejected: u32,
    /// It was asked to close before the bytes read last: what comes now crosses the close.
    last_read: bool,
}

/// Why a client's connection ends here.
pub enum Disconnect {
    ClientLeft,
    Closing,
    Lost(&'static str),
    Io(io::Error),
}

impl From<MalformedMessage> for Disconnect {
    fn from(malformed: MalformedMessage) -> Disconnect {
        Disconnect::Lost(malformed.0)
    }
}

impl From<io::Error> for Disconnect {
    fn from(error: io::Error) -> Disconnect {
        Disconnect::Io(error)
    }
}

impl ClientConnection {
    /// Enters a client at once: a connection that is unknown yet holds a descriptor all the same.
    pub fn new(
        state: Rc<RouterState>, stream: Async<TcpStream>, permit: DescriptorPermit, largest: usize,
    ) -> ClientConnection {
        let _ = stream.get_ref().set_nodelay(true);
        let arrived = state.now();
        let (number, notice) = state.clients.register(arrived);
        let buffer = Buffer::new(largest, &state.memory);
        let origin = stream.get_ref().peer_addr().map_or(0, |address| match address.ip() {
            IpAddr::V4(ip) => u64::from(ip.to_bits()),
            // An IPv6 network of 64 bits is one client's.
            IpAddr::V6(ip) => (ip.to_bits() >> 64) as u64,
        });
        ClientConnection {
            state,
            stream,
            buffer,
            number,
            origin,
            notice,
            arrived,
            arrivals: Arrivals::default(),
            _permit: permit,
            served: false,
            rejected: 0,
            last_read: false,
        }
    }

    /// A command was answered.
    pub fn answered(&mut self) {
        (self.served, self.rejected) = (true, 0);
    }

    /// A statement was no command; an error once it is one too many.
    pub fn rejected(&mut self, why: &str) -> Result<(), Disconnect> {
        self.state.metrics.invalid_requests.increment();
        log::debug!("client {}: {why}", self.number);
        self.rejected += 1;
        match self.rejected >= MOST_REJECTED {
            true => Err(Disconnect::Lost("too many statements that are no commands")),
            false => Ok(()),
        }
    }

    /// Ends a client's connection: `told` writes what is said where something was wrong, by code and reason.
    pub async fn end(mut self, stop: Disconnect, told: impl Fn(&'static str, &'static str) -> Vec<u8>) {
        match stop {
            Disconnect::Lost(why) => {
                self.state.metrics.invalid_requests.increment();
                self.dismiss(told("08P01", why), why).await;
            }
            Disconnect::Io(error) if error.kind() == io::ErrorKind::OutOfMemory => {
                self.state.metrics.throttled_at_limit.increment();
                let why = "no room for this now";
                self.dismiss(told("53300", why), why).await;
            }
            Disconnect::Io(error) => log::debug!("client {}: {error}", self.number),
            // All is answered. What comes now the client sends again: it sees the end first.
            Disconnect::Closing => self.dismiss(Vec::new(), "closed between two commands").await,
            Disconnect::ClientLeft => {}
        }
        self.state.clients.unregister(self.number);
    }

    /// Reads more, while nothing of this client is in hand. How long that may take is looked after by the
    /// sweep of all clients, so that a command costs no timer here.
    pub async fn more(&mut self) -> Result<(), Disconnect> {
        self.more_of(true).await
    }

    /// The same, where `between` tells that nothing of a message was taken out of the buffer.
    pub async fn more_of(&mut self, between: bool) -> Result<(), Disconnect> {
        let (empty, clients) = (between && self.buffer.unread().is_empty(), &self.state.clients);
        let at_rest = empty && self.served;
        clients.set_phase(
            self.number,
            if at_rest { ConnectionPhase::Idle } else { ConnectionPhase::Reading },
            self.state.clock.now(),
        );
        let (stream, notice) = (&self.stream, &self.notice);
        // A client that sends on and on is not waited for: what crosses the close it sends again.
        if at_rest && self.last_read {
            return Err(Disconnect::Closing);
        }
        let fill = async { Ok(self.buffer.fill(stream).await?) };
        let close = async {
            notice.wait_for_close(if at_rest { CloseRequest::WhenIdle } else { CloseRequest::Now }).await;
            Err(Disconnect::Closing)
        };
        let read = match fill.or(close).await {
            Err(Disconnect::Closing) if !empty => {
                return Err(Disconnect::Lost("the rest of a message did not come"));
            }
            // Something came at the last moment.
            Err(Disconnect::Closing) if self.has_come() => self.buffer.fill(&self.stream).await?,
            read => read?,
        };
        if read == 0 {
            return Err(Disconnect::ClientLeft);
        }
        self.has_read(read);
        Ok(())
    }

    /// Takes bytes out of the buffer: what they say came in with the last of them.
    pub fn consume(&mut self, length: usize) {
        self.buffer.consume(length);
        self.arrived = self.arrivals.consume(length).unwrap_or(self.arrived);
    }

    /// So many bytes were read just now.
    fn has_read(&mut self, length: usize) {
        self.arrivals.read(length, self.state.arrival_time());
        self.last_read = self.notice.close_requested() != CloseRequest::Never;
    }

    /// Ends a connection: tells the client why, if there is anything to tell, and ends the sending. What it still sends
    /// is dropped for a while, and none of it carried out: closed with bytes unread, the connection would be reset, and
    /// the client might never read its error, or its last answer.
    async fn dismiss(&mut self, out: Vec<u8>, why: &'static str) {
        log::debug!("client {}: {why}", self.number);
        self.state.clients.set_phase(self.number, ConnectionPhase::Closing, self.state.clock.now());
        let notice = self.notice.clone();
        let told = async {
            self.write(&out).await.ok()?;
            self.stream.get_ref().shutdown(Shutdown::Write).ok()?;
            self.consume(self.buffer.unread().len());
            loop {
                self.stream.readable().await.ok()?;
                match self.stream.get_ref().read(&mut self.state.discard_buffer.borrow_mut()) {
                    Ok(length) if length > 0 => {}
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    _ => return None,
                }
            }
        };
        told.or(async {
            notice.wait_for_close(CloseRequest::Now).await;
            after(LINGER, None::<()>).await
        })
        .await;
    }

    /// Whether bytes have come that are not read yet.
    fn has_come(&self) -> bool {
        self.stream.get_ref().peek(&mut [0]).is_ok_and(|length| length > 0)
    }

    /// Whether the client has gone: it closed its connection or its sending, or the connection was reset, also behind
    /// bytes that are not read yet. Nothing is begun for it any more.
    pub fn has_left(&self) -> bool {
        match self.stream.get_ref().peek(&mut [0]) {
            Ok(0) => true,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
            // Behind what is unread only the system sees the end.
            Ok(_) => {
                let gone = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
                let mut asked = [PollFd::new(&self.stream, gone)];
                let found = poll(&mut asked, Some(&Timespec { tv_sec: 0, tv_nsec: 0 }));
                found.is_ok_and(|number| number > 0) && asked[0].revents().intersects(gone)
            }
        }
    }

    /// Waits until the client has gone, and reads nothing; what it sends meanwhile is timed all the same.
    async fn leaves(&mut self) {
        while !self.has_left() {
            self.time_waiting();
            Timer::after(LOOK).await;
        }
    }

    /// Records the bytes that wait in the system to be read: they have come by now.
    fn time_waiting(&mut self) {
        let waiting = self.stream.get_ref().peek(&mut self.state.discard_buffer.borrow_mut());
        self.arrivals.waiting(waiting.unwrap_or(0), self.state.arrival_time());
    }

    /// Waits for something, and notices if the client goes away before it.
    pub async fn while_here<T>(&mut self, event: impl Future<Output = T>) -> Result<T, Disconnect> {
        // Without interruptions something comes, or the client leaves.
        self.unless(event, None::<fn(&[u8]) -> bool>).await?.ok_or(Disconnect::ClientLeft)
    }

    /// The same, up to what the client sends meanwhile is an interruption, if it can send any; then nothing has come.
    pub async fn unless<T>(
        &mut self, event: impl Future<Output = T>, interrupts: Option<impl Fn(&[u8]) -> bool>,
    ) -> Result<Option<T>, Disconnect> {
        let mut event = std::pin::pin!(event);
        let mut no_room = false;
        loop {
            // Enough has come; or a router that stops answers what it has read, and reads no more commands.
            let enough =
                no_room || self.buffer.unread().len() >= FURTHER || self.last_read && interrupts.is_none();
            let come = async { Ok(event.as_mut().await) };
            let read = async {
                if enough {
                    self.leaves().await;
                    return Err(Ok(0));
                }
                Err(self.buffer.fill(&self.stream).await)
            };
            match come.or(read).await {
                Ok(come) => return Ok(Some(come)),
                Err(Ok(length)) if length > 0 => {
                    self.has_read(length);
                    if interrupts.as_ref().is_some_and(|interrupts| interrupts(self.buffer.unread())) {
                        return Ok(None);
                    }
                }
                // No room to read what comes next is no reason to give up what is in hand.
                Err(Err(error)) if error.kind() == io::ErrorKind::OutOfMemory => no_room = true,
                Err(_) => return Err(Disconnect::ClientLeft),
            }
        }
    }

    /// Writes within the longest time that a client waits.
    pub async fn write(&self, bytes: &[u8]) -> Result<(), Disconnect> {
        let mut stream = &self.stream;
        let late = Err(io::ErrorKind::TimedOut.into());
        Ok(stream.write_all(bytes).or(after(self.state.longest_timeout.to_std(), late)).await?)
    }
}
