//! First stage: a client's connection, from its startup message to its end.

use crate::protocols::client_connection::{ClientConnection, Disconnect};
use crate::stages::admit::{AdmissionError, StatementRequest};
use crate::stages::{admit, policy_driver};
use crate::state::client_registry::ConnectionPhase;
use crate::state::descriptors::DescriptorPermit;
use crate::state::pending_commands::{Reply, ValuePart};
use crate::state::router_state::RouterState;
use crate::wire::postgres::{self, ErrorFields, MAX_MESSAGE_BYTES, StartupRequest};
use async_channel::Receiver;
use async_io::Async;
use futures_lite::FutureExt;
use std::future::Future;
use std::net::TcpStream;
use std::rc::Rc;

struct Client {
    connection: ClientConnection,
    /// A message that is not spoken here was met: all is skipped up to the next Sync.
    skipping: bool,
}

/// Serves a client.
pub fn serve(
    state: Rc<RouterState>, stream: Async<TcpStream>, permit: DescriptorPermit,
) -> impl Future<Output = ()> {
    let line = ClientConnection::new(state, stream, permit, MAX_MESSAGE_BYTES + 1);
    run(Client { connection: line, skipping: false })
}

async fn run(mut client: Client) {
    let stop = match client.open().await {
        Ok(()) => client.converse().await,
        Err(stop) => stop,
    };
    let told = |code, why| {
        let mut out = Vec::new();
        postgres::put_error(&mut out, &ErrorFields::fatal(code, why));
        out
    };
    client.connection.end(stop, told).await;
}

impl Client {
    async fn open(&mut self) -> Result<(), Disconnect> {
        loop {
            match postgres::startup_request(self.connection.buffer.unread())? {
                None => self.connection.more().await?,
                Some((StartupRequest::Cancel, length)) => {
                    // As the protocol has it, whoever asks learns nothing of what comes of it.
                    if let Some(target) = postgres::cancel_target(&self.connection.buffer.unread()[..length])
                    {
                        self.connection.state.clients.cancel_command(target.connection, target.key);
                    }
                    return Err(Disconnect::ClientLeft);
                }
                Some((StartupRequest::Encryption, length)) => {
                    self.connection.consume(length);
                    self.connection.write(b"N").await?;
                }
                Some((StartupRequest::Startup { minor }, length)) => {
                    self.connection.consume(length);
                    let mut out = Vec::new();
                    postgres::put_welcome(
                        &mut out,
                        minor,
                        self.connection.number,
                        self.connection.notice.cancel_key,
                    );
                    return self.connection.write(&out).await;
                }
            }
        }
    }

    async fn converse(&mut self) -> Disconnect {
        loop {
            if let Err(stop) = self.message().await {
                return stop;
            }
        }
    }

    async fn message(&mut self) -> Result<(), Disconnect> {
        let Some(message) = postgres::message(self.connection.buffer.unread())? else {
            return self.connection.more().await;
        };
        let length = message.raw.len();
        let mut out = Vec::new();
        let query = match message.kind {
            b'Q' => Some(postgres::query_text(message.body)?.to_vec()),
            b'X' => return Err(Disconnect::ClientLeft),
            b'S' => {
                self.skipping = false;
                postgres::put_ready_for_query(&mut out);
                None
            }
            b'P' | b'B' | b'D' | b'E' | b'C' | b'F' => {
                if !std::mem::replace(&mut self.skipping, true) {
                    let text = "only simple queries are spoken here";
                    postgres::put_error(&mut out, &ErrorFields::error("0A000", text));
                }
                None
            }
            b'H' | b'd' | b'c' | b'f' => None,
            _ => return Err(Disconnect::Lost("a message of unknown type")),
        };
        self.connection.consume(length);
        match query.filter(|_| !self.skipping) {
            Some(text) => self.query(text, out).await,
            None if out.is_empty() => Ok(()),
            None => self.connection.write(&out).await,
        }
    }

    /// Passes the parts of a large value on; without an end the connection's own tells that it is not whole.
    async fn pass_on(&self, parts: &Receiver<ValuePart>) -> Result<(), Disconnect> {
        while let Ok(part) = parts.recv().await {
            match part {
                ValuePart::Bytes(bytes) => self.connection.write(&bytes).await?,
                ValuePart::End => return Ok(()),
            }
        }
        Err(Disconnect::Closing)
    }

    async fn query(&mut self, text: Vec<u8>, mut out: Vec<u8>) -> Result<(), Disconnect> {
        if text.iter().all(|b| b.is_ascii_whitespace() || *b == b';') {
            let state = self.connection.state.clone();
            self.connection.while_here(state.ready.wait()).await?;
            postgres::put_empty_query(&mut out);
        } else if let Some(tag) = admit::session_statement(&self.connection.state, &text) {
            postgres::put_command_complete(&mut out, tag);
        } else {
            let asked = StatementRequest {
                text: &text,
                arguments: &[],
                arrived: self.connection.arrived,
                origin: self.connection.origin,
            };
            match admit::admit(&self.connection.state, &asked) {
                // A hard limit: no decision is asked for.
                Ok(admitted) if self.connection.state.at_command_limit() => {
                    self.connection.state.metrics.throttled_at_limit.increment();
                    self.connection.state.log_rejection(&admitted.client_id, "at_limit");
                    put_reply(&mut out, Reply::Throttled(None));
                }
                // It went while its statement waited to be read: nothing begins for it.
                Ok(_) if self.connection.has_left() => return Err(Disconnect::ClientLeft),
                Ok(admitted) => {
                    self.connection.state.clients.set_phase(
                        self.connection.number,
                        ConnectionPhase::Busy,
                        self.connection.state.clock.now(),
                    );
                    let notice = self.connection.notice.clone();
                    notice.reset_cancel();
                    let (id, reply) = policy_driver::submit(&self.connection.state, admitted, text, b'Q');
                    let cancelled = async {
                        notice.wait_for_cancel().await;
                        Ok(Reply::Cancelled)
                    };
                    match self.connection.while_here(reply.recv().or(cancelled)).await {
                        Ok(Ok(Reply::Cancelled)) => {
                            policy_driver::client_disconnected(&self.connection.state, id);
                            put_reply(&mut out, Reply::Cancelled);
                            self.connection.answered();
                        }
                        Ok(Ok(Reply::Streaming(first, parts))) => {
                            out.extend(first);
                            self.connection.write(&out).await?;
                            out.clear();
                            self.pass_on(&parts).await?;
                            self.connection.answered();
                        }
                        Ok(Ok(reply)) => {
                            put_reply(&mut out, reply);
                            self.connection.answered();
                        }
                        _ => {
                            policy_driver::client_disconnected(&self.connection.state, id);
                            return Err(Disconnect::ClientLeft);
                        }
                    }
                }
                Err(AdmissionError::Throttled) => {
                    self.connection.state.metrics.throttled.increment();
                    self.connection.state.log_rejection("", "statement_budget");
                    put_reply(&mut out, Reply::Throttled(None));
                }
                Err(AdmissionError::Invalid(error)) => {
                    let text = error.to_string();
                    self.connection.rejected(&text)?;
                    postgres::put_error(&mut out, &ErrorFields::error(error.sqlstate(), &text));
                }
            }
        }
        postgres::put_ready_for_query(&mut out);
        self.connection.write(&out).await
    }
}

/// The answer as the client reads it, short of ReadyForQuery.
fn put_reply(out: &mut Vec<u8>, reply: Reply) {
    match reply {
        Reply::Value(value) if out.is_empty() => *out = value,
        Reply::Value(value) => out.extend(value),
        // Passed on part by part before it comes here.
        Reply::Streaming(first, _) => out.extend(first),
        Reply::FailedWithHostError(error) => out.extend(error),
        Reply::Cancelled => {
            let text = "cancelled by its client; nothing is known of its effect";
            postgres::put_error(out, &ErrorFields::error("57014", text));
        }
        Reply::Throttled(retry_after) => {
            let advice = retry_after.map(|after| after.as_micros().div_ceil(1_000).to_string());
            let error = ErrorFields {
                detail: advice.as_deref(),
                ..ErrorFields::error("53300", "not now; trying again is harmless")
            };
            postgres::put_error(out, &error);
        }
        Reply::Failed => {
            let text = "failed; nothing is known of its effect";
            postgres::put_error(out, &ErrorFields::error("40003", text));
        }
    }
}
