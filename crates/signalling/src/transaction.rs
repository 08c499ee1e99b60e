//! Server and client transactions (RFC 3261 section 17, RFC 6026) as state machines: they are told what
//! came and what time it is and say what to send again and when to ask next. They hold no sockets.

/// Round-trip estimate T1, seconds (RFC 3261 section 17.1.1.1).
pub const T1: f64 = 0.5;
/// Longest interval between retransmissions, T2.
pub const T2: f64 = 4.0;
/// Longest time that a message stays in the network, T4.
pub const T4: f64 = 5.0;
/// Timers B, F, H, J: 64 T1.
pub const TRANSACTION_TIMEOUT: f64 = 64.0 * T1;

/// How long ago a caller can have sent the first copy of an INVITE whose first copy to be seen here came
/// `listened` seconds after this side began to listen, when it waits `patience` in all. Copies go out at
/// doubling gaps (17.1.1.2), and an earlier one would have been seen unless it came before the listening.
pub fn max_first_copy_age(listened: f64, patience: f64) -> f64 {
    let (mut gap, mut sent, mut oldest) = (T1, T1, 0.0);
    while sent < patience {
        if gap >= listened {
            oldest = sent;
        }
        gap *= 2.0;
        sent += gap;
    }
    oldest
}

/// What the owner of a transaction is to do now.
#[derive(Clone, Debug, PartialEq)]
pub enum TransactionAction {
    None,
    /// Send the last message again.
    Retransmit,
    /// The peer never confirmed; the transaction is over.
    TimedOut,
    /// Over in the ordinary way.
    Terminated,
}

/// The server side of an INVITE (17.2.1, with the Accepted state of RFC 6026). A final answer other than
/// 2xx, and over any transport a 2xx (13.3.1.4), is sent again until the ACK comes.
#[derive(Clone, Debug)]
pub struct InviteServer {
    reliable: bool,
    state: InviteState,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum InviteState {
    Proceeding,
    /// Answered: interval, next retransmission, end.
    Answered {
        gap: f64,
        again: f64,
        until: f64,
    },
    /// ACK seen: absorbs what still comes until then.
    Confirmed {
        until: f64,
    },
}

impl InviteServer {
    pub fn new(reliable: bool) -> InviteServer {
        InviteServer { reliable, state: InviteState::Proceeding }
    }

    /// The final answer was sent.
    pub fn final_response_sent(&mut self, now: f64, success: bool) {
        let again = if self.reliable && !success { f64::INFINITY } else { now + T1 };
        self.state = InviteState::Answered { gap: T1, again, until: now + TRANSACTION_TIMEOUT };
    }

    /// The same INVITE came again (17.2.1): the last answer is repeated, a provisional one too.
    pub fn retransmission_received(&self) -> TransactionAction {
        match self.state {
            InviteState::Confirmed { .. } => TransactionAction::None,
            _ => TransactionAction::Retransmit,
        }
    }

    pub fn ack_received(&mut self, now: f64) {
        if let InviteState::Answered { .. } = self.state {
            let linger = if self.reliable { 0.0 } else { T4 };
            self.state = InviteState::Confirmed { until: now + linger };
        }
    }

    /// What is due now; ask again at [`InviteServer::next_timeout`].
    pub fn handle_timeout(&mut self, now: f64) -> TransactionAction {
        match &mut self.state {
            InviteState::Answered { until, .. } if now >= *until => TransactionAction::TimedOut,
            InviteState::Answered { gap, again, .. } if now >= *again => {
                *gap = (*gap * 2.0).min(T2);
                *again = now + *gap;
                TransactionAction::Retransmit
            }
            InviteState::Confirmed { until } if now >= *until => TransactionAction::Terminated,
            _ => TransactionAction::None,
        }
    }

    pub fn next_timeout(&self) -> f64 {
        match self.state {
            InviteState::Proceeding => f64::INFINITY,
            InviteState::Answered { again, until, .. } => again.min(until),
            InviteState::Confirmed { until } => until,
        }
    }
}

/// The client side of a request other than INVITE (17.1.2).
#[derive(Clone, Debug)]
pub struct NonInviteClient {
    gap: f64,
    again: f64,
    until: f64,
}

impl NonInviteClient {
    pub fn new(now: f64, reliable: bool) -> NonInviteClient {
        NonInviteClient {
            gap: T1,
            again: if reliable { f64::INFINITY } else { now + T1 },
            until: now + TRANSACTION_TIMEOUT,
        }
    }

    pub fn handle_timeout(&mut self, now: f64) -> TransactionAction {
        if now >= self.until {
            return TransactionAction::TimedOut;
        }
        if now >= self.again {
            self.gap = (self.gap * 2.0).min(T2);
            self.again = now + self.gap;
            return TransactionAction::Retransmit;
        }
        TransactionAction::None
    }

    pub fn next_timeout(&self) -> f64 {
        self.again.min(self.until)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_unconfirmed_answer_is_repeated_at_doubling_gaps_and_given_up() {
        let mut server = InviteServer::new(false);
        assert_eq!(
            (server.retransmission_received(), server.next_timeout()),
            (TransactionAction::Retransmit, f64::INFINITY)
        );
        server.final_response_sent(0.0, false);
        let mut sent = Vec::new();
        loop {
            let now = server.next_timeout();
            match server.handle_timeout(now) {
                TransactionAction::Retransmit => sent.push(now),
                other => {
                    assert_eq!((other, now), (TransactionAction::TimedOut, TRANSACTION_TIMEOUT));
                    break;
                }
            }
        }
        assert_eq!(sent[..5], [0.5, 1.5, 3.5, 7.5, 11.5]);
    }

    #[test]
    fn an_ack_ends_the_repeats() {
        for (reliable, success, first) in
            [(false, false, T1), (true, true, T1), (true, false, TRANSACTION_TIMEOUT)]
        {
            let mut server = InviteServer::new(reliable);
            server.final_response_sent(0.0, success);
            assert_eq!(server.next_timeout(), first);
            server.ack_received(0.1);
            assert_eq!(server.retransmission_received(), TransactionAction::None);
            assert_eq!(server.handle_timeout(server.next_timeout()), TransactionAction::Terminated);
        }
    }

    #[test]
    fn a_copy_seen_late_may_be_as_old_as_its_callers_patience_allows() {
        // Copies at 0, 0.5, 1.5 and 3.5 s; the one at 1.5 s comes a second after the one before.
        for (listened, patience, oldest) in [
            (0.1, 3.0, 1.5),
            (0.9, 3.0, 1.5),
            (1.1, 3.0, 0.0),
            (1.1, 4.0, 3.5),
            (0.1, 0.4, 0.0),
            (9.0, 9.0, 0.0),
        ] {
            assert_eq!(max_first_copy_age(listened, patience), oldest, "{listened} {patience}");
        }
    }

    #[test]
    fn requests_are_repeated_over_datagrams_only() {
        let mut stream = NonInviteClient::new(0.0, true);
        assert_eq!(
            (stream.next_timeout(), stream.handle_timeout(1.0), stream.handle_timeout(TRANSACTION_TIMEOUT)),
            (TRANSACTION_TIMEOUT, TransactionAction::None, TransactionAction::TimedOut)
        );
        let mut datagrams = NonInviteClient::new(0.0, false);
        assert_eq!(datagrams.handle_timeout(T1), TransactionAction::Retransmit);
        assert_eq!(datagrams.next_timeout(), 1.5);
    }
}
