//! The path of a request, whatever protocol it came by: [`admit`] makes a request of a statement, [`policy_driver`]
//! hands it to the policy and carries out the policy's actions, [`attempt_end`] records how an attempt ended, and
//! [`reply`] gives the final answer. [`updates`] applies endpoint lists and configuration reloads.

pub mod admit;
pub mod attempt_end;
pub mod policy_driver;
pub mod reply;
pub mod updates;
