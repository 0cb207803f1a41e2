//! Changes to a running router that are not requests: endpoint lists from discovery, and a reloaded configuration.

use crate::stages::policy_driver;
use crate::state::config::{Config, ConfigError};
use crate::state::router_state::RouterState;
use crate::state::step_times::EventLoopStep;
use crate::wire::discovery::EndpointList;
use comethitch_policy::EndpointUpdate;
use comethitch_statement::Rules;
use std::rc::Rc;

/// Why a reloaded configuration is not applied.
#[derive(Debug, thiserror::Error)]
pub enum ReloadError {
    /// The protocol that is spoken has one dialect.
    #[error("dialect has changed, which needs a new start")]
    DialectChanged,
    /// The memory for buffers was computed with the size of the cache.
    #[error("cache.kib has grown, which needs a new start")]
    CacheGrown,
    /// The new configuration is not valid.
    #[error(transparent)]
    Config(#[from] ConfigError),
}

/// Applies an endpoint list or an update of it: to the directory, the idle connections and the policy.
pub fn apply_endpoint_list(state: &Rc<RouterState>, list: &EndpointList) {
    state.metrics.steps.measure(EventLoopStep::ApplyList, || {
        state.hosts.apply_endpoint_list(list);
    });
    let endpoints = list.entries.iter().map(|entry| entry.endpoint).collect();
    let update = EndpointUpdate { complete: list.complete, endpoints };
    policy_driver::call(state, EventLoopStep::UpdateEndpoints, |router, actions| {
        router.update_endpoints(&update, actions);
    });
}

/// Applies what a reloaded configuration changes.
///
/// # Errors
/// If it is faulty; then it changes nothing.
pub fn reload(state: &RouterState, reloaded: Result<Config, ConfigError>) -> Result<(), ReloadError> {
    // All or nothing: what can fail comes before what changes anything.
    let config = reloaded?;
    reload_statement_rules(state, &config)?;
    for key in state.config.fixed_keys_changed(&config) {
        log::warn!("{key} has changed, and takes effect only after a restart");
    }
    reload_discovery(state, &config);
    Ok(())
}

fn reload_discovery(state: &RouterState, config: &Config) {
    if state.discovery.service().address == config.discovery {
        log::info!("the configuration was reloaded: discovery stays {}", config.discovery);
        return;
    }
    log::info!("discovery is {} from now on", config.discovery);
    state.hosts.forget_list_version();
    state.discovery.replace(config.discovery);
}

/// Replaces the rules for statements if they have changed. They are made for the request classes that this router runs
/// with; what was known of statement shapes is dropped with the rules that it was found by.
fn reload_statement_rules(state: &RouterState, config: &Config) -> Result<(), ReloadError> {
    if !check_rules_changed(state, config)? {
        return Ok(());
    }
    let rules = config.statements.clone();
    let admission = rules.map(|rules| state.config.admission_by(rules, state.clock.now())).transpose()?;
    let which = if admission.is_some() { "other" } else { "no" };
    state.statement_rules.replace(admission);
    log::info!("statements are judged by {which} rules from now on");
    Ok(())
}

/// Returns whether the rules for statements have changed; checks that a running router can take the change over.
fn check_rules_changed(state: &RouterState, config: &Config) -> Result<bool, ReloadError> {
    let current = state.statement_rules.current();
    if let (Some(current), Some(new)) = (&current, &config.statements) {
        check_fixed_rules(current, new)?;
    }
    Ok(current.as_deref() != config.statements.as_ref())
}

/// Checks that no rule has changed that can't be changed in a running router.
fn check_fixed_rules(current: &Rules, new: &Rules) -> Result<(), ReloadError> {
    if current.dialect != new.dialect {
        return Err(ReloadError::DialectChanged);
    }
    if new.cache.kib > current.cache.kib {
        return Err(ReloadError::CacheGrown);
    }
    Ok(())
}
