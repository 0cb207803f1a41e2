//! What is spoken on the wire: pure functions over bytes, without sockets.

pub mod discovery;
pub mod http;
pub mod postgres;
pub mod standing;
pub mod statement;
