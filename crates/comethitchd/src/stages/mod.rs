//! The stages of a request, independent of the protocol: [`admit`] turns a statement into a request,
//! [`policy_driver`] submits it to the policy and carries out the policy's actions, [`attempt_end`] records
//! how an attempt ended, and [`reply`] gives the final answer. [`updates`] applies endpoint lists and
//! reloaded configurations.

pub mod admit;
pub mod attempt_end;
pub mod policy_driver;
pub mod reply;
pub mod updates;
