//! The front's state and its event loop step: inputs, expired timers, decisions and outputs.

use crate::io::{Counters, Event, FinalAnswer, Input, LinkId, Outcome, Output, Source};
use crate::links::{Frame, LegRef, Link, LinkState};
use crate::params::Params;
use crate::router::{RecordedRouter, Router, RouterInput};
use crate::shared_calls::SharedCalls;
use crate::sites::SiteRestriction;
use crate::sources::Sources;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shalespindle_control::control::Control;
use shalespindle_control::interface::*;
use shalespindle_levels::{Levels, LevelsStatus, Ticket};
use shalespindle_signalling::timers::Timers;
use shalespindle_signalling::transaction::{InviteServer, NonInviteClient};
use shalespindle_signalling::write::ResponseHead;
use shalespindle_signalling::Framer;
use slab::Slab;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

/// A write of this many bytes takes no further frames; an idle socket accepts far more at once.
const WRITE_BATCH_BYTES: usize = 8 * 1024;

/// Minimum interval between two timer-driven updates of the levels, seconds.
const MIN_LEVEL_INTERVAL: f64 = 0.01;
/// Delay in handling from which this front itself, not its servers, counts as slow, seconds.
const STALL_THRESHOLD: f64 = 0.25;

/// What a timer triggers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TimerEvent {
    /// The level of reduced service may change by time alone.
    Level,
    /// The resolver or the membership module asked to be called.
    Sources,
    /// Report observations of sites to the fleet.
    SiteReport,
    /// No front has answered [`Output::FindCall`] in time.
    FindCall { ticket: u64 },
    /// Retransmission or timeout of a BYE towards the caller of another front's call.
    ForeignBye { key: usize, serial: u32 },
    /// The decision module asked to be called.
    Control,
    /// Timeout of the leg with that key and serial number.
    Leg { key: usize, serial: u32 },
    /// The INVITE transaction with the caller of that attach.
    CallerTransaction { key: usize, serial: u32 },
    /// Retransmission or timeout of this front's BYE to the caller of that attach.
    CallerBye { key: usize, serial: u32 },
    /// A half-written frame must not be continued: the drain of that link's server began too long ago.
    DrainGrace { link: usize, connection: u64 },
    /// Reconnect, or give up a connection attempt.
    Link { link: usize, connection: u64 },
    /// A graceful shutdown has waited long enough for established attaches.
    Shutdown,
}

/// State of an attach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttachStage {
    /// No final answer yet.
    Pending,
    Established,
    /// Answered and ended; remembered only to answer retransmissions.
    Ended,
}

/// One attach, as seen from its caller's side.
pub(crate) struct Attach {
    pub serial: u32,
    pub ue: UeId,
    pub stage: AttachStage,
    pub source: Source,
    pub transaction: Box<str>,
    pub response_head: ResponseHead,
    pub call_id: Box<str>,
    /// The caller's From value, to which this front's own requests go.
    pub remote: Box<str>,
    /// The caller's To value with this front's tag.
    pub local: Box<str>,
    pub contact: Box<str>,
    pub called_number: Box<str>,
    pub session: Box<str>,
    /// Header lines that are forwarded to the server unchanged.
    pub relayed_headers: Box<str>,
    pub body: Box<[u8]>,
    pub max_forwards: u32,
    pub arrived_at: f64,
    /// End of the caller's patience, less the margin for the answer's way back.
    pub gives_up_at: f64,
    pub established_at: f64,
    /// The leg of the current try, or of the established call.
    pub leg: Option<LegRef>,
    pub tries: u32,
    pub last_server: Option<SocketAddr>,
    pub invite_server: InviteServer,
    /// The last answer, for retransmissions.
    pub last_answer: Vec<u8>,
    /// This front's BYE to the caller.
    pub bye: Option<(NonInviteClient, Vec<u8>)>,
    pub remove_at: f64,
    /// Identifies the attach to the levels, which evaluate how it ended.
    pub level_ticket: Option<Ticket>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LegStage {
    /// The INVITE waits for its socket and can still be withdrawn.
    Queued,
    /// The INVITE was sent and has no final answer.
    Sent,
    /// Given up with CANCEL; a late 200 is answered with ACK and BYE.
    Cancelled,
    Established,
    /// The BYE is queued or sent.
    Releasing,
}

/// One setup try and, if it succeeds, the server's side of the established attach.
pub(crate) struct Leg {
    pub serial: u32,
    pub stage: LegStage,
    pub attach: Option<(usize, u32)>,
    pub ue: UeId,
    pub link: usize,
    pub setup_try: u32,
    pub sent_at: f64,
    /// Timeout of the try; once it has ended, the time at which the leg is removed.
    pub expires_at: f64,
    pub request_uri: Box<str>,
    pub from: Box<str>,
    pub to: Box<str>,
    pub remote_target: Box<str>,
    /// Call-ID of another front's dialog with the server; none: a dialog of this front.
    pub call_id: Option<Box<str>>,
}

/// A caller's connection.
#[derive(Default)]
pub(crate) struct CallerStream {
    pub framer: Framer,
    /// Since when an incomplete message has been buffered.
    pub partial_since: Option<f64>,
}

/// One front. The crate's documentation says how it is driven.
pub struct Front {
    pub(crate) params: Params,
    pub(crate) started: f64,
    pub(crate) control: RecordedRouter,
    pub(crate) levels: Option<Levels>,
    level_timer_at: f64,
    pub(crate) rng: ChaCha8Rng,
    /// Prefix of all tags, branches and Call-IDs of this front, which distinguishes them from another
    /// front's.
    pub(crate) tag: String,
    pub(crate) sources: Sources,
    pub(crate) links: Vec<Link>,
    pub(crate) link_by_pool: HashMap<PoolId, usize>,
    pub(crate) attaches: Slab<Attach>,
    pub(crate) attach_by_ue: HashMap<UeId, usize>,
    pub(crate) attach_by_transaction: HashMap<Box<str>, usize>,
    pub(crate) legs: Slab<Leg>,
    pub(crate) streams: HashMap<u64, CallerStream>,
    pub(crate) timers: Timers<TimerEvent>,
    pub(crate) outputs: VecDeque<Output>,
    pub(crate) counters: Counters,
    pub(crate) next_ue: UeId,
    pub(crate) next_serial: u32,
    pub(crate) pending: usize,
    pub(crate) established: usize,
    pub(crate) shared_calls: SharedCalls,
    pub(crate) site_restriction: SiteRestriction,
    /// Since when new attaches have been refused.
    shutdown_started: Option<f64>,
}

impl Front {
    pub fn new(params: Params, seed: u64, now: f64) -> Front {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // The decision module has its own random generator, so that the front's draws never change a
        // decision.
        let control = Box::new(Control::new(rng.random(), params.deployment.clone(), now));
        Front::build(params, rng, control, now)
    }

    /// Creates a front whose decisions come from another router: the lab's baselines and faulty routers.
    pub fn with_router(params: Params, seed: u64, router: Box<dyn Router>, now: f64) -> Front {
        Front::build(params, ChaCha8Rng::seed_from_u64(seed), router, now)
    }

    fn build(params: Params, mut rng: ChaCha8Rng, router: Box<dyn Router>, now: f64) -> Front {
        let control = RecordedRouter::new(router);
        let tag = format!("{:012x}", rng.random::<u64>() >> 16);
        let levels = params.levels.clone().map(|params| Levels::new(rng.random(), params, now));
        let sources = Sources::new(&params, rng.random(), now);
        let mut front = Front {
            params,
            started: now,
            levels,
            level_timer_at: f64::INFINITY,
            control,
            rng,
            tag,
            sources,
            links: Vec::new(),
            link_by_pool: HashMap::new(),
            attaches: Slab::new(),
            attach_by_ue: HashMap::new(),
            attach_by_transaction: HashMap::new(),
            legs: Slab::new(),
            streams: HashMap::new(),
            timers: Timers::default(),
            outputs: VecDeque::new(),
            counters: Counters::default(),
            next_ue: 0,
            next_serial: 0,
            pending: 0,
            established: 0,
            shared_calls: SharedCalls::default(),
            site_restriction: SiteRestriction::default(),
            shutdown_started: None,
        };
        front.report_sites(now);
        front
    }

    /// Returns the seed of the decision module in a front created with `seed`, for replays.
    pub fn control_seed(seed: u64) -> u64 {
        ChaCha8Rng::seed_from_u64(seed).random()
    }

    /// Records all inputs to the decision module from now on.
    pub fn record(&mut self) {
        self.control.record();
    }

    pub fn recording(&self) -> &[(f64, RouterInput)] {
        self.control.recording()
    }

    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The front's host name in Via and Contact.
    pub fn host(&self) -> &str {
        &self.params.host
    }

    pub fn started(&self) -> f64 {
        self.started
    }

    /// Number of attaches without a final answer.
    pub fn pending(&self) -> usize {
        self.pending
    }

    /// Number of established attaches.
    pub fn established(&self) -> usize {
        self.established
    }

    /// Number of attaches and legs in memory, in any stage.
    pub fn record_counts(&self) -> (usize, usize) {
        (self.attaches.len(), self.legs.len())
    }

    /// A shutdown was requested, and no attach is pending or established.
    pub fn is_done(&self) -> bool {
        self.shutdown_started.is_some() && self.pending == 0 && self.established == 0
    }

    pub fn is_shutting_down(&self) -> bool {
        self.shutdown_started.is_some()
    }

    /// Takes one input. `arrived` is the latest time by which its bytes are known to have arrived: the same
    /// as `now` unless the host was stalled, see docs/design-notes/front.md.
    pub fn take(&mut self, now: f64, arrived: f64, input: Input) {
        // Rule 1 after a stall of this front: expired timers run before the input, so that an answer that
        // comes after its try's timeout is treated as late.
        let overdue = now - self.timers.next();
        if overdue > STALL_THRESHOLD || now - arrived > STALL_THRESHOLD {
            if let Some(levels) = &mut self.levels {
                levels.record_stall(now);
            }
        }
        self.run_timers(now);
        match input {
            Input::Datagram { from, bytes } => {
                self.caller_message(now, arrived, Source::Datagram(from), bytes);
            }
            Input::CallerBytes { stream, bytes } => self.caller_bytes(now, arrived, stream, bytes),
            Input::CallerClosed { stream } => self.caller_closed(now, stream),
            Input::Connected { id } => self.connected(now, id),
            Input::LinkLost { id } => self.link_lost(now, id, true),
            Input::LinkBytes { id, bytes } => self.link_bytes(now, id, bytes),
            Input::Blocked { id } => self.with_link(id, |link| link.blocked = true),
            Input::Writable { id } => self.with_link(id, |link| link.blocked = false),
            Input::FeedConnected => self.sources.list.connected(),
            Input::FeedBytes { bytes } => self.feed_bytes(now, bytes),
            Input::FeedLost => self.feed_lost(now),
            Input::Dns(report) => self.dns(now, report),
            Input::ServerWarning(warning) => self.server_warning(now, warning),
            Input::FindCallResult { ticket, known, call } => self.find_call_result(now, ticket, known, call),
            Input::CallReleased { call } => self.released_elsewhere(now, call),
            Input::SiteRestriction(restrictions) => self.restrict_sites(now, restrictions),
            Input::ReleaseCall(call) => self.release_foreign(now, &call, true, true),
            Input::Shutdown => self.begin_shutdown(now),
        }
    }

    /// Runs expired timers and carries out decisions until there are none. Call it after inputs and at
    /// [`Front::wake_at`], then pull outputs.
    pub fn turn(&mut self, now: f64) {
        self.run_timers(now);
        self.update_sources(now);
        self.decide(now);
        self.poll_levels(now);
    }

    fn run_timers(&mut self, now: f64) {
        while let Some(event) = self.timers.pop(now) {
            match event {
                TimerEvent::Control => self.control.handle(now, RouterInput::Wake),
                TimerEvent::Leg { key, serial } => self.on_leg_timer(now, LegRef { key, serial }),
                TimerEvent::CallerTransaction { key, serial } => self.on_caller_timer(now, key, serial),
                TimerEvent::CallerBye { key, serial } => self.on_bye_timer(now, key, serial),
                TimerEvent::DrainGrace { link, connection } => self.on_drain_timer(now, link, connection),
                TimerEvent::Link { link, connection } => self.on_link_timer(now, link, connection),
                TimerEvent::Sources => self.on_sources_timer(now),
                TimerEvent::SiteReport => self.report_sites(now),
                TimerEvent::Level => {
                    self.level_timer_at = f64::INFINITY;
                    if let Some(levels) = &mut self.levels {
                        levels.tick(now);
                    }
                }
                TimerEvent::Shutdown => self.release_established(now),
                TimerEvent::FindCall { ticket } => self.find_call_result(now, ticket, false, None),
                TimerEvent::ForeignBye { key, serial } => self.on_foreign_bye_timer(now, key, serial),
            }
        }
    }

    /// Logs changes of the level since the last turn and sets the timer for the next update.
    fn poll_levels(&mut self, now: f64) {
        let Some(levels) = &mut self.levels else { return };
        while let Some(change) = levels.next_change() {
            let admits = levels.describe_level(change.to);
            let event = Event::LevelChanged { from: change.from, to: change.to, why: change.reason, admits };
            self.outputs.push_back(Output::Event(event));
        }
        let due = levels.deadline();
        if due < self.level_timer_at {
            self.level_timer_at = due;
            // Not immediately: a turn must end whatever time the levels ask for.
            self.timers.set(due.max(now + MIN_LEVEL_INTERVAL), TimerEvent::Level);
        }
    }

    /// Returns the level of reduced service and a description of what it admits; none if levels are off.
    pub fn level(&mut self, now: f64) -> Option<(LevelsStatus, String)> {
        let levels = self.levels.as_mut()?;
        let status = levels.status(now);
        Some((status, levels.describe_level(status.level)))
    }

    /// Pins a level for the given seconds, or with `None` removes the pin. Returns false if there is no such
    /// level, or no pin to remove. Call [`Front::turn`] after it.
    pub fn pin_level(&mut self, now: f64, pin: Option<(usize, f64)>) -> bool {
        let Some(levels) = &mut self.levels else { return false };
        let done = match pin {
            Some((level, seconds)) => levels.pin(now, level, now + seconds),
            None => levels.unpin(now),
        };
        if done {
            let (level, seconds) = pin.map_or((None, 0.0), |(level, seconds)| (Some(level), seconds));
            self.event(Event::LevelPinned { level, seconds });
        }
        done
    }

    /// Number of the deepest level; 0 is full service.
    pub fn deepest_level(&self) -> usize {
        self.params.levels.as_ref().map_or(0, |levels| levels.steps.len())
    }

    /// Returns when [`Front::turn`] must be called at the latest; infinite if no timer is set.
    pub fn wake_at(&self) -> f64 {
        self.timers.next()
    }

    /// Returns the next output for the host. Frames to servers come last, those of one link in one write.
    /// After a write that does not fit into its socket, report [`Input::Blocked`] before the next pull.
    pub fn next_output(&mut self, now: f64) -> Option<Output> {
        if let Some(output) = self.outputs.pop_front() {
            return Some(output);
        }
        for link_index in 0..self.links.len() {
            if let Some(bytes) = self.next_write(now, link_index) {
                return Some(Output::ToServer { id: self.links[link_index].id(link_index), bytes });
            }
        }
        None
    }

    /// Takes the frames of one write from a link's queue. They cannot be withdrawn afterwards.
    fn next_write(&mut self, now: f64, link_index: usize) -> Option<Vec<u8>> {
        let link = &mut self.links[link_index];
        if link.blocked || link.state != LinkState::Up || link.queue.is_empty() {
            return None;
        }
        link.last_invites.clear();
        let mut out = Vec::new();
        while out.len() < WRITE_BATCH_BYTES {
            let Some(frame) = link.queue.pop_front() else { break };
            let bytes = match frame {
                Frame::Other(bytes) => {
                    if link.probe.is_some() {
                        link.observations.expect_answer(now);
                    }
                    bytes
                }
                Frame::Bye(at, bytes) => {
                    if self.legs.get(at.key).is_none_or(|l| l.serial != at.serial) {
                        continue;
                    }
                    bytes
                }
                Frame::Invite(at, bytes) => {
                    let Some(leg) = self.legs.get_mut(at.key).filter(|l| l.serial == at.serial) else {
                        continue;
                    };
                    // Rules 1 and 3: the set-up was withdrawn, timed out or lost its server while it waited.
                    if leg.stage != LegStage::Queued || now >= leg.expires_at || !link.ready {
                        continue;
                    }
                    leg.stage = LegStage::Sent;
                    leg.sent_at = now;
                    link.last_invites.push(at);
                    link.observations.expect_answer(now);
                    self.counters.setup_tries += 1;
                    bytes
                }
            };
            if out.is_empty() {
                out = bytes;
            } else {
                out.extend_from_slice(&bytes);
            }
        }
        (!out.is_empty()).then_some(out)
    }

    fn with_link(&mut self, id: LinkId, change: impl FnOnce(&mut Link)) {
        if let Some(link) = self.links.get_mut(id.link).filter(|l| l.connection == id.connection) {
            change(link);
        }
    }

    pub(crate) fn new_serial(&mut self) -> u32 {
        self.next_serial = self.next_serial.wrapping_add(1);
        self.next_serial
    }

    pub(crate) fn event(&mut self, event: Event) {
        self.outputs.push_back(Output::Event(event));
    }

    pub(crate) fn bad_message(&mut self, from: &'static str, why: String) {
        self.counters.bad_messages += 1;
        self.event(Event::BadInput { from, why });
    }

    // ---- shutdown ----

    fn begin_shutdown(&mut self, now: f64) {
        if self.shutdown_started.is_none() {
            self.shutdown_started = Some(now);
            self.timers.set(now + self.params.shutdown_timeout, TimerEvent::Shutdown);
            self.event(Event::ShuttingDown { pending: self.pending, established: self.established });
        }
    }

    /// Releases all established attaches when the shutdown timeout has expired.
    fn release_established(&mut self, now: f64) {
        let keys: Vec<usize> = self
            .attaches
            .iter()
            .filter(|(_, a)| a.stage == AttachStage::Established)
            .map(|(k, _)| k)
            .collect();
        for key in keys {
            self.release(now, key, true, true, true);
        }
    }

    // ---- final answers ----

    /// Records the one final answer of an attach in the log, the counters and the levels.
    pub(crate) fn record_outcome(
        &mut self,
        now: f64,
        key: usize,
        outcome: Outcome,
        status: u16,
        set_up_delay: f64,
    ) {
        let attach = &self.attaches[key];
        let answer = FinalAnswer {
            session: attach.session.clone(),
            number: attach.called_number.clone(),
            outcome,
            status,
            last_server: attach.last_server,
            tries: attach.tries,
            answered_after: now - attach.arrived_at,
            set_up_delay,
        };
        self.pending -= 1;
        if let (Some(levels), Some(ticket)) = (&mut self.levels, &self.attaches[key].level_ticket) {
            let ended = match outcome {
                Outcome::Established => shalespindle_levels::Outcome::Established,
                Outcome::Refused | Outcome::Failed => shalespindle_levels::Outcome::Failed,
                Outcome::Abandoned => shalespindle_levels::Outcome::Abandoned,
            };
            levels.record_outcome(now, ticket, ended);
        }
        match outcome {
            Outcome::Established => self.counters.stands += 1,
            Outcome::Refused => self.counters.refused += 1,
            Outcome::Failed => self.counters.fails += 1,
            Outcome::Abandoned => self.counters.left += 1,
        }
        self.event(Event::FinalAnswer(answer));
    }
}
