//! What speaks with clients and hosts: for each protocol a front that takes commands in and hands answers out, and
//! a back that sends them to hosts and asks hosts how they stand.

mod attempt;
mod client_connection;
mod flow;
pub mod postgres;
pub mod tds;
