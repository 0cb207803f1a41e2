//! What is kept in memory: buffers, connections, commands in hand, and the list.

pub mod buffer;
pub mod clients;
pub mod commands;
pub mod connection;
pub mod flag;
pub mod list;
pub mod pool;
