//! Updates of a running router: endpoint lists from the discovery service, and configuration reloads.

use crate::stages::policy_driver;
use crate::state::config::{Config, ConfigError};
use crate::state::router_state::RouterState;
use crate::state::step_times::EventLoopStep;
use crate::wire::discovery::EndpointList;
use comethitch_policy::EndpointUpdate;
use comethitch_statement::Rules;
use std::rc::Rc;

/// Why a reloaded configuration was not applied.
#[derive(Debug, thiserror::Error)]
pub enum ReloadError {
    /// The dialect of the statement rules has changed. It must match the protocol, which is selected at
    /// start.
    #[error("dialect can't be changed by a reload: restart the router")]
    DialectChanged,
    /// The cache of statement shapes has grown. The memory for buffers was computed at start from the
    /// previous size.
    #[error("cache.kib can't be increased by a reload: restart the router")]
    CacheGrown,
    /// The new configuration is not valid.
    #[error(transparent)]
    Config(#[from] ConfigError),
}

/// Applies a complete endpoint list or an update of it to the endpoint directory, the idle connections and
/// the policy.
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

/// Applies the changes in a reloaded configuration that a running router can apply, and logs the keys of the
/// others, which take effect after a restart.
///
/// # Errors
///
/// If the configuration is not valid, or its statement rules can't be applied by a reload. Nothing is changed
/// then.
pub fn reload(state: &RouterState, reloaded: Result<Config, ConfigError>) -> Result<(), ReloadError> {
    // Everything that can fail comes before the first change.
    let config = reloaded?;
    reload_statement_rules(state, &config)?;
    for key in state.config.fixed_keys_changed(&config) {
        log::warn!(key; "setting changed, effective after restart");
    }
    reload_discovery(state, &config);
    Ok(())
}

fn reload_discovery(state: &RouterState, config: &Config) {
    if state.discovery.service().address == config.discovery {
        log::info!(address:% = config.discovery; "configuration reloaded, discovery service unchanged");
        return;
    }
    log::info!(address:% = config.discovery; "configuration reloaded, discovery service changed");
    state.hosts.forget_list_version();
    state.discovery.replace(config.discovery);
}

/// Replaces the statement rules if they have changed, after checking them against the request classes of the
/// running configuration. The cache of statement shapes is dropped together with the old rules.
fn reload_statement_rules(state: &RouterState, config: &Config) -> Result<(), ReloadError> {
    if !check_rules_changed(state, config)? {
        return Ok(());
    }
    let rules = config.statements.clone();
    let admission =
        rules.map(|rules| state.config.admission_with_rules(rules, state.clock.now())).transpose()?;
    match admission {
        Some(_) => log::info!("statement rules replaced"),
        None => log::info!("statement rules removed"),
    }
    state.statement_rules.replace(admission);
    Ok(())
}

/// Returns whether the statement rules have changed. Fails if a reload can't apply the changes.
fn check_rules_changed(state: &RouterState, config: &Config) -> Result<bool, ReloadError> {
    let current = state.statement_rules.current();
    if let (Some(current), Some(new)) = (&current, &config.statements) {
        check_fixed_rules(current, new)?;
    }
    Ok(current.as_deref() != config.statements.as_ref())
}

/// Checks that only those parts of the statement rules have changed that a running router can change.
fn check_fixed_rules(current: &Rules, new: &Rules) -> Result<(), ReloadError> {
    if current.dialect != new.dialect {
        return Err(ReloadError::DialectChanged);
    }
    if new.cache.kib > current.cache.kib {
        return Err(ReloadError::CacheGrown);
    }
    Ok(())
}
