//! Limits how many messages of no use a peer may send: of a client those that are no requests, such as empty
//! queries, settings of the session, and messages of a protocol that is not supported; of a watch at the discovery
//! service empty lines and lists that change nothing.
//!
//! Each of them is cheap, but a peer that sends nothing else at full speed takes processor time from all others.
//! Requests are not limited here: the policy decides on them.

use comethitch_policy::time::{Duration, Timestamp};

/// Number of messages of no use that a peer may send at once.
const MAX_SAVED_MESSAGES: u64 = 512;
/// Time in which a peer may send one more message.
const REFILL_INTERVAL: Duration = Duration::from_millis(10);
/// Number of messages that each one of use adds, such as an answered request. Drivers send settings, preparations and checks of the
/// connection around their requests.
const MESSAGES_PER_USEFUL_MESSAGE: u64 = 8;
/// Length of the first pause. Each further one is twice as long.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Number of pauses without a message of use in between after which the peer is disconnected. Together they
/// take 1.55 s, since a client that is of no use must get an error or a close within 3 s.
const MAX_PAUSES: u32 = 5;

/// Whether a peer's next message may be handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageLimit {
    /// At once.
    Handle,
    /// After a pause in which nothing is read from the peer.
    HandleAfter(Duration),
    /// The peer must be disconnected.
    Exceeded,
}

/// The messages of no use that a peer may still send.
#[derive(Debug)]
pub struct MessageAllowance {
    saved: u64,
    refilled_at: Timestamp,
    /// Number of pauses since the allowance was last full, or a message of use was last recorded.
    pauses: u32,
}

impl MessageAllowance {
    /// Creates the allowance of a new connection.
    pub fn new(now: Timestamp) -> MessageAllowance {
        MessageAllowance { saved: MAX_SAVED_MESSAGES, refilled_at: now, pauses: 0 }
    }

    /// Takes a message of no use from the allowance.
    ///
    /// ```
    /// use comethitch_policy::time::Timestamp;
    /// use comethitchd::state::message_allowance::{MessageAllowance, MessageLimit};
    /// let mut allowance = MessageAllowance::new(Timestamp::ZERO);
    /// let mut limits = std::iter::repeat_with(|| allowance.take(Timestamp::ZERO));
    /// assert!(limits.by_ref().take(512).all(|limit| limit == MessageLimit::Handle));
    /// assert!(limits.by_ref().take(5).all(|limit| matches!(limit, MessageLimit::HandleAfter(_))));
    /// assert_eq!(limits.next(), Some(MessageLimit::Exceeded));
    /// ```
    pub fn take(&mut self, now: Timestamp) -> MessageLimit {
        self.refill(now);
        if self.saved > 0 {
            self.saved -= 1;
            return MessageLimit::Handle;
        }
        if self.pauses >= MAX_PAUSES {
            return MessageLimit::Exceeded;
        }
        self.pauses += 1;
        MessageLimit::HandleAfter(FIRST_PAUSE * (1 << (self.pauses - 1)))
    }

    /// Records a message of use, such as an answered request.
    pub fn record_useful_message(&mut self) {
        self.saved = (self.saved + MESSAGES_PER_USEFUL_MESSAGE).min(MAX_SAVED_MESSAGES);
        self.pauses = 0;
    }

    fn refill(&mut self, now: Timestamp) {
        let refilled = (now - self.refilled_at).as_micros() / REFILL_INTERVAL.as_micros();
        self.refilled_at = self.refilled_at + REFILL_INTERVAL * refilled;
        self.saved = (self.saved + refilled).min(MAX_SAVED_MESSAGES);
        if self.saved == MAX_SAVED_MESSAGES {
            self.pauses = 0;
        }
    }
}
