//! What a running router learns besides commands: hosts from discovery, and a configuration read again.

use crate::memory::clock::Clock;
use crate::memory::flag::Flag;
use crate::memory::hub::Hub;
use crate::memory::protocol::Back;
use crate::memory::site::Site;
use crate::stages::route;
use crate::wire::discovery::Listing;
use comethitch_policy::{ActionQueue, EndpointUpdate, Router};
use comethitch_statement::Desk;
use std::rc::Rc;

/// Starts the module and what is around it, with the hosts that the configuration knows.
pub fn start(mut site: Site, clock: Clock, back: Box<dyn Back>) -> Rc<Hub> {
    let known = std::mem::take(&mut site.known);
    let mut actions = ActionQueue::at(clock.now());
    let router = Router::start(site.deployment.clone(), site.seed, &mut actions);
    let hub = Hub::new(site, clock, router, back);
    route::carry_out(&hub, actions);
    if !known.entries.is_empty() {
        listed(&hub, &known);
    }
    hub
}

/// Takes in what discovery told.
pub fn listed(hub: &Rc<Hub>, listing: &Listing) {
    let left = hub.list.borrow_mut().take(listing);
    left.iter().for_each(|host| hub.pool.borrow_mut().close(*host));
    let endpoints = listing.entries.iter().map(|entry| entry.endpoint).collect();
    let update = EndpointUpdate { complete: listing.whole, endpoints };
    route::decide(hub, |router, out| router.update_endpoints(&update, out));
}

/// Takes over what a configuration that was read again changes. A faulty one changes nothing.
pub fn reload(hub: &Hub, read: Result<Site, String>) {
    let site = match read {
        Ok(site) => site,
        Err(why) => return log::error!("the configuration stays as it was: {why}"),
    };
    // Whole or not at all: what could fail comes before what changes anything.
    if let Err(why) = reload_rules(hub, &site) {
        return log::error!("the configuration stays as it was: {why}");
    }
    for key in hub.site.fixed_keys_changed(&site) {
        log::warn!("{key} has changed, and is taken over only by a new start");
    }
    if hub.discovery.borrow().0 != site.discovery {
        log::info!("discovery is {} from now on", site.discovery);
        hub.list.borrow_mut().since = None;
        hub.discovery.replace((site.discovery, Flag::default())).1.raise();
    } else {
        log::info!("the configuration was read again: discovery stays {}", site.discovery);
    }
}

/// Takes over other rules for statements. They are made for the command groups that this router runs with;
/// what was known of shapes is forgotten with the rules that it was found by.
fn reload_rules(hub: &Hub, site: &Site) -> Result<(), String> {
    let mut desk = hub.desk.borrow_mut();
    if desk.as_ref().map(Desk::rules) == site.statements.as_ref() {
        return Ok(());
    }
    let rules = site.statements.clone();
    // The protocol spoken has one language, and the room for buffers was reckoned with this cache.
    if let (Some(old), Some(new)) = (desk.as_ref().map(Desk::rules), &rules) {
        if old.dialect != new.dialect {
            return Err("dialect has changed, which needs a new start".into());
        }
        if new.cache.kib > old.cache.kib {
            return Err("cache.kib has grown, which needs a new start".into());
        }
    }
    *desk = rules.map(|rules| hub.site.desk_by(rules, hub.clock.now())).transpose()?;
    log::info!("statements are judged by {} rules from now on", if desk.is_some() { "other" } else { "no" });
    Ok(())
}
