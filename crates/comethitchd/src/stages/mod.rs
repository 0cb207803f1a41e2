//! The way of a command, whatever protocol it came by: admitted, routed, answered and booked. A protocol takes it
//! in before, and sends it in between.

pub mod admit;
pub mod book;
pub mod learn;
pub mod relay;
pub mod route;
