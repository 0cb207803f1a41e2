//! The way of a command: it is taken in, admitted, routed, sent, relayed and booked.

pub mod admit;
pub mod book;
pub mod relay;
pub mod route;
pub mod send;
pub mod take_in;
