//! The front's state and its turn: reports in, due times, decisions pulled until none is left, outputs out.

use crate::io::{Counters, Event, FinalAnswer, Input, LinkId, Outcome, Output, Source};
use crate::links::{Frame, LegRef, Link, LinkState};
use crate::params::Params;
use crate::router::{RecordedRouter, Router, RouterInput};
use crate::shared::Shared;
use crate::sites::Narrowed;
use crate::sources::Sources;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shalespindle_control::control::Control;
use shalespindle_control::interface::*;
use shalespindle_levels::{Levels, LevelsStatus, Ticket};
use shalespindle_signalling::timers::Timers;
use shalespindle_signalling::transaction::{Client, InviteServer};
use shalespindle_signalling::write::ResponseHead;
use shalespindle_signalling::Framer;
use slab::Slab;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

/// Bytes from which no further frame joins a write: well under what an idle socket takes.
const TOGETHER: usize = 8 * 1024;

/// Least time between two looks at the levels for time's sake, seconds.
const LEVELS_APART: f64 = 0.01;
/// Lateness from which this front itself, not its servers, was slow, seconds.
const STOOD_STILL: f64 = 0.25;

/// What falls due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Due {
    /// The level of reduced service may move by time alone.
    Level,
    /// Resolver or membership module asked to be woken.
    Sources,
    /// The fleet is told what this front sees of sites.
    Sight,
    /// Nobody has said whose call that is.
    Whose {
        ticket: u64,
    },
    /// A BYE towards the caller of another front's call.
    Foreign {
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
    Caller {
        key: usize,
        serial: u32,
    },
    /// A request of our own towards a caller, or a release towards a server.
    Release {
        key: usize,
        serial: u32,
    },
    /// The drain of that link's server is so old that nothing half sent may go on.
    Drained {
        link: usize,
        connection: u64,
    },
    /// Connect again, or give a connection up.
    Link {
        link: usize,
        connection: u64,
    },
    End,
}

/// What an attach is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// No final answer yet.
    Pending,
    Standing,
    /// Answered and over; kept only to meet repeats.
    Over,
}

/// One attach: its caller's side.
pub(crate) struct Attach {
    pub serial: u32,
    pub ue: UeId,
    pub stage: Stage,
    pub source: Source,
    pub transaction: Box<str>,
    pub head: ResponseHead,
    pub call_id: Box<str>,
    /// The caller's From value, where our own requests to it go.
    pub caller: Box<str>,
    pub called: Box<str>,
    pub contact: Box<str>,
    pub number: Box<str>,
    pub session: Box<str>,
    /// Header lines that go on to the server as they came.
    pub relay: Box<str>,
    pub body: Box<[u8]>,
    pub hops: u32,
    pub arrived: f64,
    pub gives_up_at: f64,
    pub stood_at: f64,
    /// The leg that is out or stands.
    pub leg: Option<LegRef>,
    pub tries: u32,
    pub last_server: Option<SocketAddr>,
    pub server: InviteServer,
    /// The last answer, for repeats.
    pub last: Vec<u8>,
    /// Our BYE to the caller.
    pub bye: Option<(Client, Vec<u8>)>,
    pub remove_at: f64,
    /// By which the levels judge how it ended.
    pub ticket: Option<Ticket>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LegStage {
    /// The INVITE waits for its socket.
    Queued,
    /// Sent, no final answer.
    Out,
    /// Given up by CANCEL; a late 200 is met with ACK and BYE.
    Cancelled,
    Standing,
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
    pub due: f64,
    pub uri: Box<str>,
    pub from: Box<str>,
    pub to: Box<str>,
    pub target: Box<str>,
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
    level_wake: f64,
    pub(crate) rng: ChaCha8Rng,
    /// Tells this front's names of dialogs and transactions from another's.
    pub(crate) tag: String,
    pub(crate) sources: Sources,
    pub(crate) links: Vec<Link>,
    pub(crate) by_pool: HashMap<PoolId, usize>,
    pub(crate) attaches: Slab<Attach>,
    pub(crate) by_ue: HashMap<UeId, usize>,
    pub(crate) by_transaction: HashMap<Box<str>, usize>,
    pub(crate) legs: Slab<Leg>,
    pub(crate) streams: HashMap<u64, CallerStream>,
    pub(crate) timers: Timers<Due>,
    pub(crate) outputs: VecDeque<Output>,
    pub(crate) counters: Counters,
    pub(crate) next_ue: UeId,
    pub(crate) next_serial: u32,
    pub(crate) pending: usize,
    pub(crate) established: usize,
    pub(crate) shared: Shared,
    pub(crate) narrowed: Narrowed,
    /// Since when it takes nothing new.
    ending: Option<f64>,
}

impl Front {
    pub fn new(params: Params, seed: u64, now: f64) -> Front {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // The module's chance is its own, so that what the front draws never shifts a decision.
        let control = Box::new(Control::new(rng.random(), params.deployment.clone(), now));
        Front::made(params, rng, control, now)
    }

    /// A front whose decisions come from something else: baselines and planted faults of the lab.
    pub fn with_router(params: Params, seed: u64, router: Box<dyn Router>, now: f64) -> Front {
        Front::made(params, ChaCha8Rng::seed_from_u64(seed), router, now)
    }

    fn made(params: Params, mut rng: ChaCha8Rng, router: Box<dyn Router>, now: f64) -> Front {
        let control = RecordedRouter::new(router);
        let tag = format!("{:012x}", rng.random::<u64>() >> 16);
        let levels = params.levels.clone().map(|params| Levels::new(rng.random(), params, now));
        let sources = Sources::new(&params, rng.random(), now);
        let mut front = Front {
            params,
            started: now,
            levels,
            level_wake: f64::INFINITY,
            control,
            rng,
            tag,
            sources,
            links: Vec::new(),
            by_pool: HashMap::new(),
            attaches: Slab::new(),
            by_ue: HashMap::new(),
            by_transaction: HashMap::new(),
            legs: Slab::new(),
            streams: HashMap::new(),
            timers: Timers::default(),
            outputs: VecDeque::new(),
            counters: Counters::default(),
            next_ue: 0,
            next_serial: 0,
            pending: 0,
            established: 0,
            shared: Shared::default(),
            narrowed: Narrowed::default(),
            ending: None,
        };
        front.sees_sites(now);
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
        self.ending.is_some() && self.pending == 0 && self.established == 0
    }

    pub fn is_shutting_down(&self) -> bool {
        self.ending.is_some()
    }

    /// Takes one report. `arrived` is when its bytes came at the latest known time before they were read:
    /// the same as `now` unless the host was held up, see docs/design-notes/front.md.
    pub fn take(&mut self, now: f64, arrived: f64, input: Input) {
        // Guards rule 1 where this front was held up: what is overdue counts before what comes late, so that
        // an answer past its try's time-out is a late one.
        let overdue = now - self.timers.next();
        if overdue > STOOD_STILL || now - arrived > STOOD_STILL {
            if let Some(levels) = &mut self.levels {
                levels.record_stall(now);
            }
        }
        self.run_due(now);
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
            Input::ServerWarning(warning) => self.warned(now, warning),
            Input::FindCallResult { ticket, known, call } => self.found(now, ticket, known, call),
            Input::CallReleased { call } => self.released_elsewhere(now, call),
            Input::SiteRestriction(narrowing) => self.narrow(now, narrowing),
            Input::ReleaseCall(call) => self.release_foreign(now, &call, true, true),
            Input::Shutdown => self.end(now),
        }
    }

    /// Handles what is due and pulls decisions until there are none. Call it after reports, and at
    /// [`Front::wake_at`]; then pull outputs.
    pub fn turn(&mut self, now: f64) {
        self.run_due(now);
        self.heed_sources(now);
        self.decide(now);
        self.heed_levels(now);
    }

    fn run_due(&mut self, now: f64) {
        while let Some(due) = self.timers.pop(now) {
            match due {
                Due::Control => self.control.handle(now, RouterInput::Wake),
                Due::Leg { key, serial } => self.leg_due(now, LegRef { key, serial }),
                Due::Caller { key, serial } => self.caller_due(now, key, serial),
                Due::Release { key, serial } => self.bye_due(now, key, serial),
                Due::Drained { link, connection } => self.drain_due(now, link, connection),
                Due::Link { link, connection } => self.link_due(now, link, connection),
                Due::Sources => self.sources_due(now),
                Due::Sight => self.sees_sites(now),
                Due::Level => {
                    self.level_wake = f64::INFINITY;
                    if let Some(levels) = &mut self.levels {
                        levels.tick(now);
                    }
                }
                Due::End => self.release_all(now),
                Due::Whose { ticket } => self.found(now, ticket, false, None),
                Due::Foreign { key, serial } => self.foreign_due(now, key, serial),
            }
        }
    }

    /// What the levels have to say since the last turn, and when they want to be asked again.
    fn heed_levels(&mut self, now: f64) {
        let Some(levels) = &mut self.levels else { return };
        while let Some(change) = levels.next_change() {
            let admits = levels.describe_level(change.to);
            let event = Event::LevelChanged { from: change.from, to: change.to, why: change.reason, admits };
            self.outputs.push_back(Output::Event(event));
        }
        let due = levels.deadline();
        if due < self.level_wake {
            self.level_wake = due;
            // Never at once again: a turn must come to an end whatever the levels ask for.
            self.timers.set(due.max(now + LEVELS_APART), Due::Level);
        }
    }

    /// Level of reduced service now, with its reason; none where levels are off.
    pub fn level(&mut self, now: f64) -> Option<(LevelsStatus, String)> {
        let levels = self.levels.as_mut()?;
        let status = levels.status(now);
        Some((status, levels.describe_level(status.level)))
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
        for place in 0..self.links.len() {
            if let Some(bytes) = self.next_frames(now, place) {
                return Some(Output::ToServer { id: self.links[place].id(place), bytes });
            }
        }
        None
    }

    /// The frames that leave together: as many as fit into one write. None of them can be taken back after.
    fn next_frames(&mut self, now: f64, place: usize) -> Option<Vec<u8>> {
        let link = &mut self.links[place];
        if link.blocked || link.state != LinkState::Up || link.queue.is_empty() {
            return None;
        }
        link.last_set_ups.clear();
        let mut out = Vec::new();
        while out.len() < TOGETHER {
            let Some(frame) = link.queue.pop_front() else { break };
            let bytes = match frame {
                Frame::Other(bytes) => {
                    if link.probe.is_some() {
                        link.seen.owes(now);
                    }
                    bytes
                }
                Frame::Release(at, bytes) => {
                    if self.legs.get(at.key).is_none_or(|l| l.serial != at.serial) {
                        continue;
                    }
                    bytes
                }
                Frame::SetUp(at, bytes) => {
                    let Some(leg) = self.legs.get_mut(at.key).filter(|l| l.serial == at.serial) else {
                        continue;
                    };
                    // Guards rules 1 and 3: taken back, or due to be, while it waited.
                    if leg.stage != LegStage::Queued || now >= leg.due || !link.ready {
                        continue;
                    }
                    leg.stage = LegStage::Out;
                    leg.sent_at = now;
                    link.last_set_ups.push(at);
                    link.seen.owes(now);
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

    pub(crate) fn serial(&mut self) -> u32 {
        self.next_serial = self.next_serial.wrapping_add(1);
        self.next_serial
    }

    pub(crate) fn event(&mut self, event: Event) {
        self.outputs.push_back(Output::Event(event));
    }

    pub(crate) fn bad(&mut self, from: &'static str, why: String) {
        self.counters.bad_messages += 1;
        self.event(Event::BadInput { from, why });
    }

    // ---- the end ----

    fn end(&mut self, now: f64) {
        if self.ending.is_none() {
            self.ending = Some(now);
            self.timers.set(now + self.params.shutdown_timeout, Due::End);
            self.event(Event::ShuttingDown { pending: self.pending, established: self.established });
        }
    }

    /// Standing attaches have held up the end for long enough.
    fn release_all(&mut self, now: f64) {
        let keys: Vec<usize> =
            self.attaches.iter().filter(|(_, a)| a.stage == Stage::Standing).map(|(k, _)| k).collect();
        for key in keys {
            self.release(now, key, true, true, true);
        }
    }

    // ---- final answers ----

    /// The one final answer of an attach, for the log and the counts.
    pub(crate) fn settled(&mut self, now: f64, key: usize, outcome: Outcome, status: u16, set_up_delay: f64) {
        let attach = &self.attaches[key];
        let answer = FinalAnswer {
            session: attach.session.clone(),
            number: attach.number.clone(),
            outcome,
            status,
            last_server: attach.last_server,
            tries: attach.tries,
            answered_after: now - attach.arrived,
            set_up_delay,
        };
        self.pending -= 1;
        if let (Some(levels), Some(ticket)) = (&mut self.levels, &self.attaches[key].ticket) {
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
