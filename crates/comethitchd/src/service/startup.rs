//! Starts the policy and the state around it, before anything is listened to.

use crate::stages::{policy_driver, updates};
use crate::state::clock::Clock;
use crate::state::config::{Config, ConfigError};
use crate::state::protocol::BackendProtocol;
use crate::state::router_state::RouterState;
use comethitch_policy::{ActionQueue, Router};
use std::rc::Rc;

/// Starts the policy, with the hosts that the configuration knows.
///
/// # Errors
///
/// If the rules for statements do not fit the request classes.
pub fn start(
    mut config: Config, clock: Clock, backend: Box<dyn BackendProtocol<RouterState>>,
) -> Result<Rc<RouterState>, ConfigError> {
    let known = std::mem::take(&mut config.initial_endpoints);
    let mut actions = ActionQueue::at(clock.now());
    let router = Router::start(config.deployment.clone(), config.seed, &mut actions);
    let state = RouterState::new(config, clock, router, backend)?;
    policy_driver::carry_out(&state, actions);
    if !known.entries.is_empty() {
        updates::apply_endpoint_list(&state, &known);
    }
    Ok(state)
}
