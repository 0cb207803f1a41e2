//! The wire protocols on sockets. Each protocol has a client side, which turns what clients send into requests and
//! writes their answers, and a backend side, which sends attempts to hosts and checks their health.
//!
//! What all protocols share: `client_connection` for clients; `attempt`, `health_check`, `connect`, `exchange`
//! and `streamed_answer` for hosts.

mod attempt;
mod client_connection;
mod connect;
mod exchange;
mod health_check;
pub mod postgres;
mod streamed_answer;
pub mod tds;
