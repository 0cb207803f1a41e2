//! What the daemon knows of hosts: their addresses, the idle connections to them, and the descriptors that
//! connections to hosts use.

use crate::state::connection_pool::ConnectionPool;
use crate::state::descriptors::{DescriptorLimit, DescriptorPermit};
use crate::state::endpoints::EndpointDirectory;
use crate::state::host_connection::HostConnection;
use crate::wire::discovery::EndpointList;
use comethitch_policy::time::{Duration, Timestamp};
use comethitch_policy::{Host, Role};
use std::cell::{Ref, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Owns the endpoint directory, the pool of idle connections and the descriptor limit of connections to
/// hosts.
pub struct Hosts {
    directory: RefCell<EndpointDirectory>,
    pool: RefCell<ConnectionPool>,
    /// Listed hosts that are known to answer barriers correctly.
    answering_barriers: RefCell<BTreeSet<Host>>,
    descriptors: DescriptorLimit,
}

impl Hosts {
    /// Creates the state for a router that knows no hosts yet. Hosts close connections that are idle for
    /// `host_idle_timeout`.
    pub fn new(host_idle_timeout: Duration, descriptors: DescriptorLimit) -> Hosts {
        Hosts {
            directory: RefCell::default(),
            pool: RefCell::new(ConnectionPool::new(host_idle_timeout)),
            answering_barriers: RefCell::default(),
            descriptors,
        }
    }

    /// Returns the endpoint directory. The borrow must not be kept across an await.
    pub fn directory(&self) -> Ref<'_, EndpointDirectory> {
        self.directory.borrow()
    }

    /// Applies an endpoint list or an update to the directory, and closes idle connections to hosts that it
    /// removes or moves to another address.
    pub fn apply_endpoint_list(&self, list: &EndpointList) {
        let removed_or_moved = self.directory.borrow_mut().apply(list);
        for host in removed_or_moved {
            self.close_idle(host);
            self.record_answers_barriers(host, false);
        }
    }

    /// Returns whether a host is known to answer barriers correctly.
    pub fn answers_barriers(&self, host: Host) -> bool {
        self.answering_barriers.borrow().contains(&host)
    }

    /// Records whether a host answers barriers correctly.
    pub fn record_answers_barriers(&self, host: Host, answers: bool) {
        let mut answering = self.answering_barriers.borrow_mut();
        if answers {
            answering.insert(host);
        } else {
            answering.remove(&host);
        }
    }

    /// Forgets the version of the current endpoint list, so that the complete list is fetched next.
    pub fn forget_list_version(&self) {
        self.directory.borrow_mut().forget_version();
    }

    /// Records the role that a host reported, and logs a change.
    pub fn record_role(&self, host: Host, role: Role) {
        let mut directory = self.directory.borrow_mut();
        if directory.record_role(host, role) {
            log::info!(host = directory.name(host), role:?; "host role changed");
        }
    }

    /// Takes an idle connection to a host out of the pool. See [`ConnectionPool::take`].
    pub fn take_idle(&self, host: Host, address: SocketAddr, now: Timestamp) -> Option<HostConnection> {
        self.pool.borrow_mut().take(host, address, now)
    }

    /// Returns a connection to the pool, or closes it if the host is no longer listed at its address or the
    /// buffer holds unread bytes.
    pub fn release(&self, host: Host, connection: HostConnection, now: Timestamp) {
        let is_listed = self.directory().is_listed_at(host, connection.address);
        if is_listed && connection.buffer.unread().is_empty() {
            self.pool.borrow_mut().put(host, connection, now);
        }
    }

    /// Records that a host had no slot for one more connection. Idle connections are then closed sooner.
    pub fn record_no_slot(&self, now: Timestamp) {
        self.pool.borrow_mut().record_no_slot(now);
    }

    /// Closes a host's idle connections.
    pub fn close_idle(&self, host: Host) {
        self.pool.borrow_mut().close_host(host);
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self, now: Timestamp) {
        self.pool.borrow_mut().close_expired(now);
    }

    /// Acquires a descriptor for one more connection. If none is free, the connection that has been idle for
    /// the longest time is closed first. Returns `None` if no connection is idle either.
    pub fn acquire_descriptor(&self) -> Option<DescriptorPermit> {
        self.descriptors.acquire().or_else(|| {
            self.pool.borrow_mut().evict_longest_idle();
            self.descriptors.acquire()
        })
    }

    /// Returns the number of idle connections.
    pub fn idle_connections(&self) -> usize {
        self.pool.borrow().len()
    }

    /// Returns the number of open connections, idle or in use.
    pub fn open_connections(&self) -> usize {
        self.descriptors.in_use()
    }
}
