//! Creates the policy's router and the state around it, before any connection is accepted.

use crate::stages::{policy_driver, updates};
use crate::state::clock::Clock;
use crate::state::config::{Config, ConfigError};
use crate::state::protocol::BackendProtocol;
use crate::state::router_state::RouterState;
use comethitch_policy::{ActionQueue, Router};
use std::rc::Rc;

/// Creates the state of a router, and applies the endpoint list of the configuration if it has one.
///
/// # Errors
///
/// If the statement rules don't fit the request classes.
pub fn start(
    mut config: Config, clock: Clock, backend: Box<dyn BackendProtocol<RouterState>>,
) -> Result<Rc<RouterState>, ConfigError> {
    let initial_endpoints = std::mem::take(&mut config.initial_endpoints);
    let mut actions = ActionQueue::at(clock.now());
    let router = Router::start(config.deployment.clone(), config.seed, &mut actions);
    let state = RouterState::new(config, clock, router, backend)?;
    policy_driver::carry_out(&state, actions);
    if !initial_endpoints.entries.is_empty() {
        updates::apply_endpoint_list(&state, &initial_endpoints);
    }
    Ok(state)
}
