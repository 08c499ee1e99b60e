//! One request to the feed: its connection, and how far its response has come.

use crate::edge::ConnectionId;
use crate::sse::{EventStream, StreamError};

/// Time after which a connection that is not established is overdue, seconds.
pub const DIAL_TIMEOUT: f64 = 0.5;
/// Discovery fails a request that has waited for 2 s; one without a response is overdue a little later, seconds.
const RESPONSE_TIMEOUT: f64 = 2.1;
/// The feed sends a comment every second; after this time without input the stream is overdue, seconds.
const SILENCE_TIMEOUT: f64 = 1.7;
/// The rest of a partly received event is overdue after this time, seconds. Events are usually written whole,
/// and waiting for the silence timeout would delay the event's content.
const PARTIAL_EVENT_TIMEOUT: f64 = 0.3;

/// How far a request has come. Later stages compare greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// The connection is not established yet.
    Dialled,
    /// The request was sent.
    Requested,
    /// The head of the response was received: events follow.
    Streaming,
}

/// A request whose connection has not ended.
pub struct FeedRequest {
    pub connection: ConnectionId,
    stage: Stage,
    stream: EventStream,
    /// When the stage began or bytes last arrived.
    active_at: f64,
    /// When the request was sent.
    sent_at: f64,
}

impl FeedRequest {
    /// A request whose connection is being dialled.
    pub fn dialled(now: f64, connection: ConnectionId) -> FeedRequest {
        let stream = EventStream::default();
        FeedRequest { connection, stage: Stage::Dialled, stream, active_at: now, sent_at: now }
    }

    /// The connection is established and the request sent on it.
    pub fn sent(&mut self, now: f64) {
        self.stage = Stage::Requested;
        (self.active_at, self.sent_at) = (now, now);
    }

    /// Parses bytes of the response and calls `on_event` with the data of each complete event.
    pub fn receive(
        &mut self,
        now: f64,
        bytes: &[u8],
        on_event: impl FnMut(&[u8]),
    ) -> Result<(), StreamError> {
        self.active_at = now;
        let result = self.stream.push(bytes, on_event);
        if self.stream.has_head() {
            self.stage = Stage::Streaming;
        }
        result
    }

    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Time since the request was sent, seconds.
    pub fn age(&self, now: f64) -> f64 {
        now - self.sent_at
    }

    /// When the stage began or bytes last arrived.
    pub fn active_at(&self) -> f64 {
        self.active_at
    }

    /// Whether part of an event, of a comment or of the head has been received without the rest.
    pub fn is_partial(&self) -> bool {
        self.stream.is_partial()
    }

    /// Whether part of an event has been received that another request would have to receive again.
    pub fn is_within_event(&self) -> bool {
        self.stream.is_within_event()
    }

    /// When a further request is to be made beside this one.
    pub fn overdue_at(&self) -> f64 {
        self.active_at + if self.is_partial() { PARTIAL_EVENT_TIMEOUT } else { self.stage_timeout() }
    }

    /// When this request, made beside an overdue one, is given up for a new one. Unlike [`Self::overdue_at`] this
    /// leaves time for an event that comes in pieces.
    pub fn expires_at(&self) -> f64 {
        self.active_at + self.stage_timeout()
    }

    fn stage_timeout(&self) -> f64 {
        match self.stage {
            Stage::Dialled => DIAL_TIMEOUT,
            Stage::Requested => RESPONSE_TIMEOUT,
            Stage::Streaming => SILENCE_TIMEOUT,
        }
    }

    /// Why the request is overdue, for the log.
    pub fn overdue_reason(&self) -> &'static str {
        match self.stage {
            _ if self.is_partial() => "stopped within an event",
            Stage::Dialled => "not connected",
            Stage::Requested => "no response",
            Stage::Streaming => "silent",
        }
    }
}
