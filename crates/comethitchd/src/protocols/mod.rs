//! The wire protocols over sockets. Each protocol has a client side, which turns client messages into
//! requests and writes the answers, and a backend side, which sends attempts to hosts and checks their
//! health.
//!
//! All protocols share `client_connection` on the client side, and `attempt`, `health_check`, `connect`,
//! `exchange` and `streamed_answer` on the backend side.

mod attempt;
mod barrier;
mod client_connection;
mod connect;
mod exchange;
mod health_check;
pub mod postgres;
mod streamed_answer;
pub mod tds;
