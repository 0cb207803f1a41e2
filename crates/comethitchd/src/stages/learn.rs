//! What a running router learns besides commands: hosts from discovery, and a configuration read again.

use crate::stages::route;
use crate::state::clock::Clock;
use crate::state::config::Config;
use crate::state::protocol::BackendProtocol;
use crate::state::router_state::RouterState;
use crate::state::signals::OneShotEvent;
use crate::wire::discovery::EndpointList;
use comethitch_policy::{ActionQueue, EndpointUpdate, Router};
use comethitch_statement::StatementAdmission;
use std::rc::Rc;

/// Starts the module and what is around it, with the hosts that the configuration knows.
pub fn start(mut site: Config, clock: Clock, back: Box<dyn BackendProtocol>) -> Rc<RouterState> {
    let known = std::mem::take(&mut site.known);
    let mut actions = ActionQueue::at(clock.now());
    let router = Router::start(site.deployment.clone(), site.seed, &mut actions);
    let state = RouterState::new(site, clock, router, back);
    route::carry_out(&state, actions);
    if !known.entries.is_empty() {
        listed(&state, &known);
    }
    state
}

/// Takes in what discovery told.
pub fn listed(state: &Rc<RouterState>, listing: &EndpointList) {
    let left = state.endpoints.borrow_mut().take(listing);
    left.iter().for_each(|host| state.pool.borrow_mut().close(*host));
    let endpoints = listing.entries.iter().map(|entry| entry.endpoint).collect();
    let update = EndpointUpdate { complete: listing.complete, endpoints };
    route::decide(state, |router, out| router.update_endpoints(&update, out));
}

/// Takes over what a configuration that was read again changes. A faulty one changes nothing.
pub fn reload(state: &RouterState, read: Result<Config, String>) {
    let site = match read {
        Ok(site) => site,
        Err(why) => return log::error!("the configuration stays as it was: {why}"),
    };
    // Whole or not at all: what could fail comes before what changes anything.
    if let Err(why) = reload_rules(state, &site) {
        return log::error!("the configuration stays as it was: {why}");
    }
    for key in state.config.fixed_keys_changed(&site) {
        log::warn!("{key} has changed, and is taken over only by a new start");
    }
    if state.discovery.borrow().0 != site.discovery {
        log::info!("discovery is {} from now on", site.discovery);
        state.endpoints.borrow_mut().since = None;
        state.discovery.replace((site.discovery, OneShotEvent::default())).1.raise();
    } else {
        log::info!("the configuration was read again: discovery stays {}", site.discovery);
    }
}

/// Takes over other rules for statements. They are made for the command groups that this router runs with;
/// what was known of shapes is forgotten with the rules that it was found by.
fn reload_rules(state: &RouterState, site: &Config) -> Result<(), String> {
    let mut desk = state.admission.borrow_mut();
    if desk.as_ref().map(StatementAdmission::rules) == site.statements.as_ref() {
        return Ok(());
    }
    let rules = site.statements.clone();
    // The protocol spoken has one language, and the room for buffers was reckoned with this cache.
    if let (Some(old), Some(new)) = (desk.as_ref().map(StatementAdmission::rules), &rules) {
        if old.dialect != new.dialect {
            return Err("dialect has changed, which needs a new start".into());
        }
        if new.cache.kib > old.cache.kib {
            return Err("cache.kib has grown, which needs a new start".into());
        }
    }
    *desk = rules.map(|rules| state.config.admission_by(rules, state.clock.now())).transpose()?;
    log::info!("statements are judged by {} rules from now on", if desk.is_some() { "other" } else { "no" });
    Ok(())
}
