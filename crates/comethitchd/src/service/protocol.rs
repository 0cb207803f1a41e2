//! The choice of the wire protocol that a router speaks with clients and with hosts.

use crate::protocols::postgres::Postgres;
use crate::protocols::tds::Tds;
use crate::protocols::tds::settings::{TdsSettings, TdsSettingsError};
use crate::state::config::Config;
use crate::state::protocol::{BackendProtocol, ClientProtocol};
use crate::state::router_state::RouterState;
use comethitch_statement::Dialect;
use std::net::SocketAddr;
use std::rc::Rc;

/// Why a protocol can't be spoken with a configuration.
#[derive(Debug, thiserror::Error)]
pub enum ProtocolError {
    /// Statements of TDS are admitted by their text, and there are no rules for that.
    #[error("TDS needs rules for statements: give --statements")]
    MissingRules,
    /// The rules for statements are of another dialect than the protocol's.
    #[error("the rules for statements are not of the dialect {expected}")]
    WrongDialect {
        /// The protocol's dialect.
        expected: &'static str,
    },
    /// The file of TDS settings can't be read, or has a fault.
    #[error(transparent)]
    TdsSettings(#[from] TdsSettingsError),
}

/// The protocol spoken with clients and with hosts, and where else clients connect.
pub struct Protocol {
    /// What is spoken with clients.
    pub client: Rc<dyn ClientProtocol<RouterState>>,
    /// What is spoken with hosts.
    pub backend: Box<dyn BackendProtocol<RouterState>>,
    /// Further addresses to listen on.
    pub additional_addresses: Vec<SocketAddr>,
}

impl Protocol {
    /// PostgreSQL's protocol.
    pub fn postgres() -> Protocol {
        Protocol { client: Rc::new(Postgres), backend: Box::new(Postgres), additional_addresses: Vec::new() }
    }

    /// TDS, with the operator's settings.
    ///
    /// # Errors
    ///
    /// If the configuration has no rules for statements of the dialect `tsql`, or an address is malformed.
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
