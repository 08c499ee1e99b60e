//! Server and client transactions (RFC 3261 section 17, RFC 6026) as state machines without I/O: they take
//! events and the time, and return what to retransmit and when the next timer expires. Times are in seconds.

/// Round-trip estimate T1, seconds (RFC 3261 section 17.1.1.1).
pub const T1: f64 = 0.5;
/// Maximum interval between retransmissions T2, seconds.
pub const T2: f64 = 4.0;
/// Maximum time that a message stays in the network T4, seconds.
pub const T4: f64 = 5.0;
/// Timers B, F, H and J: 64 T1, seconds.
pub const TRANSACTION_TIMEOUT: f64 = 64.0 * T1;

/// Returns how long ago, in seconds, a caller can at most have sent an INVITE for the first time, when the
/// first copy received here came `listened` seconds after this side began to listen and the caller waits
/// `patience` seconds in all. The caller retransmits at doubling intervals (17.1.1.2), and this side would
/// have received an earlier copy unless that came before it began to listen.
pub fn max_first_copy_age(listened: f64, patience: f64) -> f64 {
    let (mut interval, mut age, mut max_age) = (T1, T1, 0.0);
    while age < patience {
        if interval >= listened {
            max_age = age;
        }
        interval *= 2.0;
        age += interval;
    }
    max_age
}

/// What the owner of a transaction must do now.
#[derive(Clone, Debug, PartialEq)]
pub enum TransactionAction {
    /// Nothing.
    None,
    /// Send the last message again.
    Retransmit,
    /// Remove the transaction: the peer never confirmed.
    TimedOut,
    /// Remove the transaction: it has ended normally.
    Terminated,
}

/// An INVITE server transaction (17.2.1, with the Accepted state of RFC 6026). A final response is
/// retransmitted until the ACK comes: a 2xx over any transport (13.3.1.4), others over UDP only.
#[derive(Clone, Debug)]
pub struct InviteServer {
    /// Whether the transport is reliable (TCP).
    reliable: bool,
    state: InviteState,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum InviteState {
    Proceeding,
    /// A final response was sent; its ACK has not come.
    Completed {
        interval: f64,
        next_retransmission: f64,
        expires_at: f64,
    },
    /// The ACK came; late retransmissions are absorbed until `expires_at`.
    Confirmed {
        expires_at: f64,
    },
}

impl InviteServer {
    /// Creates the transaction of an INVITE that came over a reliable or an unreliable transport.
    pub fn new(reliable: bool) -> InviteServer {
        InviteServer { reliable, state: InviteState::Proceeding }
    }

    /// Records that the final response was sent.
    pub fn final_response_sent(&mut self, now: f64, success: bool) {
        let next_retransmission = if self.reliable && !success { f64::INFINITY } else { now + T1 };
        self.state = InviteState::Completed {
            interval: T1,
            next_retransmission,
            expires_at: now + TRANSACTION_TIMEOUT,
        };
    }

    /// Handles a retransmission of the INVITE (17.2.1): the last response, also a provisional one, is sent
    /// again.
    pub fn retransmission_received(&self) -> TransactionAction {
        match self.state {
            InviteState::Confirmed { .. } => TransactionAction::None,
            _ => TransactionAction::Retransmit,
        }
    }

    /// Handles the ACK.
    pub fn ack_received(&mut self, now: f64) {
        if let InviteState::Completed { .. } = self.state {
            let linger = if self.reliable { 0.0 } else { T4 };
            self.state = InviteState::Confirmed { expires_at: now + linger };
        }
    }

    /// Runs an expired timer. Call it again at [`InviteServer::next_timeout`].
    pub fn handle_timeout(&mut self, now: f64) -> TransactionAction {
        match &mut self.state {
            InviteState::Completed { expires_at, .. } if now >= *expires_at => TransactionAction::TimedOut,
            InviteState::Completed { interval, next_retransmission, .. } if now >= *next_retransmission => {
                *interval = (*interval * 2.0).min(T2);
                *next_retransmission = now + *interval;
                TransactionAction::Retransmit
            }
            InviteState::Confirmed { expires_at } if now >= *expires_at => TransactionAction::Terminated,
            _ => TransactionAction::None,
        }
    }

    /// Time at which the next timer expires; infinite if none is set.
    pub fn next_timeout(&self) -> f64 {
        match self.state {
            InviteState::Proceeding => f64::INFINITY,
            InviteState::Completed { next_retransmission, expires_at, .. } => {
                next_retransmission.min(expires_at)
            }
            InviteState::Confirmed { expires_at } => expires_at,
        }
    }
}

/// A client transaction of a request other than INVITE (17.1.2).
#[derive(Clone, Debug)]
pub struct NonInviteClient {
    interval: f64,
    next_retransmission: f64,
    expires_at: f64,
}

impl NonInviteClient {
    /// Creates the transaction of a request sent now over a reliable or an unreliable transport.
    pub fn new(now: f64, reliable: bool) -> NonInviteClient {
        NonInviteClient {
            interval: T1,
            next_retransmission: if reliable { f64::INFINITY } else { now + T1 },
            expires_at: now + TRANSACTION_TIMEOUT,
        }
    }

    /// Runs an expired timer. Call it again at [`NonInviteClient::next_timeout`].
    pub fn handle_timeout(&mut self, now: f64) -> TransactionAction {
        if now >= self.expires_at {
            return TransactionAction::TimedOut;
        }
        if now >= self.next_retransmission {
            self.interval = (self.interval * 2.0).min(T2);
            self.next_retransmission = now + self.interval;
            return TransactionAction::Retransmit;
        }
        TransactionAction::None
    }

    /// Time at which the next timer expires.
    pub fn next_timeout(&self) -> f64 {
        self.next_retransmission.min(self.expires_at)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_unacknowledged_response_is_retransmitted_at_doubling_intervals_until_the_timeout() {
        let mut server = InviteServer::new(false);
        assert_eq!(
            (server.retransmission_received(), server.next_timeout()),
            (TransactionAction::Retransmit, f64::INFINITY)
        );
        server.final_response_sent(0.0, false);
        let mut sent_at = Vec::new();
        loop {
            let now = server.next_timeout();
            match server.handle_timeout(now) {
                TransactionAction::Retransmit => sent_at.push(now),
                other => {
                    assert_eq!((other, now), (TransactionAction::TimedOut, TRANSACTION_TIMEOUT));
                    break;
                }
            }
        }
        assert_eq!(sent_at[..5], [0.5, 1.5, 3.5, 7.5, 11.5]);
    }

    #[test]
    fn an_ack_ends_the_retransmissions() {
        for (reliable, success, first_timeout) in
            [(false, false, T1), (true, true, T1), (true, false, TRANSACTION_TIMEOUT)]
        {
            let mut server = InviteServer::new(reliable);
            server.final_response_sent(0.0, success);
            assert_eq!(server.next_timeout(), first_timeout);
            server.ack_received(0.1);
            assert_eq!(server.retransmission_received(), TransactionAction::None);
            assert_eq!(server.handle_timeout(server.next_timeout()), TransactionAction::Terminated);
        }
    }

    #[test]
    fn the_age_of_the_first_copy_is_bounded_by_the_listening_time_and_the_patience() {
        // Copies are sent at 0, 0.5, 1.5 and 3.5 s; the one at 1.5 s comes a second after the one before.
        for (listened, patience, max_age) in [
            (0.1, 3.0, 1.5),
            (0.9, 3.0, 1.5),
            (1.1, 3.0, 0.0),
            (1.1, 4.0, 3.5),
            (0.1, 0.4, 0.0),
            (9.0, 9.0, 0.0),
        ] {
            assert_eq!(max_first_copy_age(listened, patience), max_age, "{listened} {patience}");
        }
    }

    #[test]
    fn requests_are_retransmitted_over_udp_only() {
        let mut tcp = NonInviteClient::new(0.0, true);
        assert_eq!(
            (tcp.next_timeout(), tcp.handle_timeout(1.0), tcp.handle_timeout(TRANSACTION_TIMEOUT)),
            (TRANSACTION_TIMEOUT, TransactionAction::None, TransactionAction::TimedOut)
        );
        let mut udp = NonInviteClient::new(0.0, false);
        assert_eq!(udp.handle_timeout(T1), TransactionAction::Retransmit);
        assert_eq!(udp.next_timeout(), 1.5);
    }
}
