//! Selects the wire protocol that a router speaks with clients and hosts.

use crate::protocols::postgres::Postgres;
use crate::protocols::tds::Tds;
use crate::protocols::tds::settings::{TdsSettings, TdsSettingsError};
use crate::state::config::Config;
use crate::state::protocol::{BackendProtocol, ClientProtocol};
use crate::state::router_state::RouterState;
use comethitch_statement::Dialect;
use std::net::SocketAddr;
use std::rc::Rc;

/// Why a protocol can't be used with a configuration.
#[derive(Debug, thiserror::Error)]
pub enum ProtocolError {
    /// There are no statement rules. TDS requires them, because it classifies statements by their text.
    #[error("TDS requires statement rules: pass a file with --statements")]
    MissingRules,
    /// The dialect of the statement rules is not that of the protocol.
    #[error("the dialect of the statement rules must be {expected} for this protocol")]
    WrongDialect {
        /// The protocol's dialect.
        expected: &'static str,
    },
    /// The TDS settings can't be read or are invalid.
    #[error(transparent)]
    TdsSettings(#[from] TdsSettingsError),
}

/// The protocol spoken with clients and hosts, and the additional addresses that it listens on.
pub struct Protocol {
    /// The protocol's client side.
    pub client: Rc<dyn ClientProtocol<RouterState>>,
    /// The protocol's host side.
    pub backend: Box<dyn BackendProtocol<RouterState>>,
    /// Addresses to listen on in addition to the address in the configuration.
    pub additional_addresses: Vec<SocketAddr>,
}

impl Protocol {
    /// Returns PostgreSQL's protocol.
    pub fn postgres() -> Protocol {
        Protocol { client: Rc::new(Postgres), backend: Box::new(Postgres), additional_addresses: Vec::new() }
    }

    /// Returns TDS with the operator's settings.
    ///
    /// # Errors
    ///
    /// If the configuration has no statement rules for the dialect `tsql`, or an address is malformed.
    pub fn tds(settings: TdsSettings, config: &Config) -> Result<Protocol, ProtocolError> {
        match &config.statements {
            None => return Err(ProtocolError::MissingRules),
            Some(rules) if rules.dialect != Dialect::Tsql => {
                return Err(ProtocolError::WrongDialect { expected: "tsql" });
            }
            Some(_) => {}
        }
        let additional_addresses = settings.addresses()?;
        let tds = Tds(Rc::new(settings));
        Ok(Protocol { client: Rc::new(tds.clone()), backend: Box::new(tds), additional_addresses })
    }
}
