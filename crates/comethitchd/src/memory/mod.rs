//! What is kept in memory: buffers, connections, commands in hand, the list, and what holds them all.

pub mod arrivals;
pub mod buffer;
pub mod clients;
pub mod clock;
pub mod commands;
pub mod connection;
pub mod fields;
pub mod flag;
pub mod hub;
pub mod list;
pub mod pool;
pub mod protocol;
pub mod site;
pub mod tally;
