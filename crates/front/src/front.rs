//! The front's state and its turn: reports in, due times, decisions pulled until none is left, outputs out.

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
use shalespindle_levels::{Levels, Status, Ticket};
use shalespindle_signalling::timers::Timers;
use shalespindle_signalling::transaction::{Client, InviteServer};
use shalespindle_signalling::write::ResponseHead;
use shalespindle_signalling::Framer;
use slab::Slab;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

/// Bytes from which no further frame joins a write: well under what an idle socket takes.
const WRITE_BATCH_BYTES: usize = 8 * 1024;

/// Least time between two looks at the levels for time's sake, seconds.
const MIN_LEVEL_INTERVAL: f64 = 0.01;
/// Lateness from which this front itself, not its servers, was slow, seconds.
const STALL_THRESHOLD: f64 = 0.25;

/// What falls due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TimerEvent {
    /// The level of reduced service may move by time alone.
    Level,
    /// Resolver or membership module asked to be woken.
    Sources,
    /// The fleet is told what this front sees of sites.
    SiteReport,
    /// Nobody has said whose call that is.
    FindCall {
        ticket: u64,
    },
    /// A BYE towards the caller of another front's call.
    ForeignBye {
        key: usize,
        serial: u32,
    },
    /// The decision module asked to be woken.
    Control,
    /// The time-out of the leg with that key and serial number.
    Leg {
        key: usize,
        serial: u32,
    },
    /// The caller's transaction of that attach.
    CallerTransaction {
        key: usize,
        serial: u32,
    },
    /// A request of our own towards a caller, or a release towards a server.
    CallerBye {
        key: usize,
        serial: u32,
    },
    /// The drain of that link's server is so old that nothing half sent may go on.
    DrainGrace {
        link: usize,
        connection: u64,
    },
    /// Connect again, or give a connection up.
    Link {
        link: usize,
        connection: u64,
    },
    Shutdown,
}

/// What an attach is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttachStage {
    /// No final answer yet.
    Pending,
    Established,
    /// Answered and over; kept only to meet repeats.
    Ended,
}

/// One attach: its caller's side.
pub(crate) struct Attach {
    pub serial: u32,
    pub ue: UeId,
    pub stage: AttachStage,
    pub source: Source,
    pub transaction: Box<str>,
    pub response_head: ResponseHead,
    pub call_id: Box<str>,
    /// The caller's From value, where our own requests to it go.
    pub remote: Box<str>,
    pub local: Box<str>,
    pub contact: Box<str>,
    pub called_number: Box<str>,
    pub session: Box<str>,
    /// Header lines that go on to the server as they came.
    pub relayed_headers: Box<str>,
    pub body: Box<[u8]>,
    pub max_forwards: u32,
    pub arrived_at: f64,
    pub gives_up_at: f64,
    pub established_at: f64,
    /// The leg that is out or stands.
    pub leg: Option<LegRef>,
    pub tries: u32,
    pub last_server: Option<SocketAddr>,
    pub invite_server: InviteServer,
    /// The last answer, for repeats.
    pub last_answer: Vec<u8>,
    /// Our BYE to the caller.
    pub bye: Option<(Client, Vec<u8>)>,
    pub remove_at: f64,
    /// By which the levels judge how it ended.
    pub level_ticket: Option<Ticket>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LegStage {
    /// The INVITE waits for its socket.
    Queued,
    /// Sent, no final answer.
    Sent,
    /// Given up by CANCEL; a late 200 is met with ACK and BYE.
    Cancelled,
    Established,
    /// BYE is on its way.
    Releasing,
}

/// One setup try, and the server's side of the attach that stands by it.
pub(crate) struct Leg {
    pub serial: u32,
    pub stage: LegStage,
    pub attach: Option<(usize, u32)>,
    pub ue: UeId,
    pub link: usize,
    pub setup_try: u32,
    pub sent_at: f64,
    /// Time-out of the try; later, when the leg is forgotten.
    pub expires_at: f64,
    pub request_uri: Box<str>,
    pub from: Box<str>,
    pub to: Box<str>,
    pub remote_target: Box<str>,
    /// Of another front's dialog with the server; none: this front's own.
    pub call_id: Option<Box<str>>,
}

/// A caller's connection.
#[derive(Default)]
pub(crate) struct CallerStream {
    pub framer: Framer,
    /// Since when part of a message is held.
    pub partial_since: Option<f64>,
}

/// One front. See the crate's page for how it is driven.
pub struct Front {
    pub(crate) params: Params,
    pub(crate) started: f64,
    pub(crate) control: RecordedRouter,
    pub(crate) levels: Option<Levels>,
    level_timer_at: f64,
    pub(crate) rng: ChaCha8Rng,
    /// Tells this front's names of dialogs and transactions from another's.
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
    /// Since when it takes nothing new.
    shutdown_started: Option<f64>,
}

impl Front {
    pub fn new(params: Params, seed: u64, now: f64) -> Front {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // The module's chance is its own, so that what the front draws never shifts a decision.
        let control = Box::new(Control::new(rng.random(), params.deployment.clone(), now));
        Front::build(params, rng, control, now)
    }

    /// A front whose decisions come from something else: baselines and planted faults of the lab.
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

    /// The seed that the decision module of a front made with `seed` gets, for replays.
    pub fn control_seed(seed: u64) -> u64 {
        ChaCha8Rng::seed_from_u64(seed).random()
    }

    /// Keeps all that the module is told from now on.
    pub fn record(&mut self) {
        self.control.record();
    }

    pub fn recording(&self) -> &[(f64, RouterInput)] {
        self.control.recording()
    }

    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Its name in Via and Contact.
    pub fn host(&self) -> &str {
        &self.params.host
    }

    pub fn started(&self) -> f64 {
        self.started
    }

    /// Attaches without a final answer.
    pub fn pending(&self) -> usize {
        self.pending
    }

    pub fn established(&self) -> usize {
        self.established
    }

    /// Legs and attaches held in any state, for bounds on memory.
    pub fn record_counts(&self) -> (usize, usize) {
        (self.attaches.len(), self.legs.len())
    }

    /// Asked to end, with nothing left in hand and no attach standing.
    pub fn is_done(&self) -> bool {
        self.shutdown_started.is_some() && self.pending == 0 && self.established == 0
    }

    pub fn is_shutting_down(&self) -> bool {
        self.shutdown_started.is_some()
    }

    /// Takes one report. `arrived` is when its bytes came at the latest known time before they were read:
    /// the same as `now` unless the host was held up, see docs/design-notes/front.md.
    pub fn take(&mut self, now: f64, arrived: f64, input: Input) {
        // Guards rule 1 where this front was held up: what is overdue counts before what comes late, so that
        // an answer past its try's time-out is a late one.
        let overdue = now - self.timers.next();
        if overdue > STALL_THRESHOLD || now - arrived > STALL_THRESHOLD {
            if let Some(levels) = &mut self.levels {
                levels.stood_still(now);
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
            Input::SiteRestriction(narrowing) => self.restrict_sites(now, narrowing),
            Input::ReleaseCall(call) => self.release_foreign(now, &call, true, true),
            Input::Shutdown => self.begin_shutdown(now),
        }
    }

    /// Handles what is due and pulls decisions until there are none. Call it after reports, and at
    /// [`Front::wake_at`]; then pull outputs.
    pub fn turn(&mut self, now: f64) {
        self.run_timers(now);
        self.update_sources(now);
        self.decide(now);
        self.poll_levels(now);
    }

    fn run_timers(&mut self, now: f64) {
        while let Some(due) = self.timers.pop(now) {
            match due {
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

    /// What the levels have to say since the last turn, and when they want to be asked again.
    fn poll_levels(&mut self, now: f64) {
        let Some(levels) = &mut self.levels else { return };
        while let Some(change) = levels.next_change() {
            let admits = levels.takes_in_words(change.to);
            let event = Event::LevelChanged { from: change.from, to: change.to, why: change.why, admits };
            self.outputs.push_back(Output::Event(event));
        }
        let due = levels.due();
        if due < self.level_timer_at {
            self.level_timer_at = due;
            // Never at once again: a turn must come to an end whatever the levels ask for.
            self.timers.set(due.max(now + MIN_LEVEL_INTERVAL), TimerEvent::Level);
        }
    }

    /// Level of reduced service now, with its reason; none where levels are off.
    pub fn level(&mut self, now: f64) -> Option<(Status, String)> {
        let levels = self.levels.as_mut()?;
        let status = levels.status(now);
        Some((status, levels.takes_in_words(status.level)))
    }

    /// Holds a level for so many seconds, or with `None` ends a pin; false where there is no such level.
    /// Call [`Front::turn`] after it.
    pub fn pin_level(&mut self, now: f64, pin: Option<(usize, f64)>) -> bool {
        let Some(levels) = &mut self.levels else { return false };
        let held = match pin {
            Some((level, seconds)) => levels.pin(now, level, now + seconds),
            None => levels.unpin(now),
        };
        if held {
            let (level, seconds) = pin.map_or((None, 0.0), |(level, seconds)| (Some(level), seconds));
            self.event(Event::LevelPinned { level, seconds });
        }
        held
    }

    /// How many levels there are beside full service.
    pub fn deepest_level(&self) -> usize {
        self.params.levels.as_ref().map_or(0, |levels| levels.steps.len())
    }

    /// When [`Front::turn`] must be called at the latest; infinite when nothing is due.
    pub fn wake_at(&self) -> f64 {
        self.timers.next()
    }

    /// The next thing for the host to do. Frames to servers come last, those of one link together: after a
    /// write that does not fit, report [`Input::Blocked`] before the next pull.
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

    /// The frames that leave together: as many as fit into one write. None of them can be taken back after.
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
                    // Guards rules 1 and 3: taken back, or due to be, while it waited.
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

    // ---- the end ----

    fn begin_shutdown(&mut self, now: f64) {
        if self.shutdown_started.is_none() {
            self.shutdown_started = Some(now);
            self.timers.set(now + self.params.shutdown_timeout, TimerEvent::Shutdown);
            self.event(Event::ShuttingDown { pending: self.pending, established: self.established });
        }
    }

    /// Standing attaches have held up the end for long enough.
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

    /// The one final answer of an attach, for the log and the counts.
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
                Outcome::Established => shalespindle_levels::Outcome::Stood,
                Outcome::Refused | Outcome::Failed => shalespindle_levels::Outcome::Lost,
                Outcome::Abandoned => shalespindle_levels::Outcome::Left,
            };
            levels.ended(now, ticket, ended);
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
