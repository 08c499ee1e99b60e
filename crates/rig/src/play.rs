//! A plan played on processes, then healed and checked.

use crate::check::{check, Breach, Seen};
use crate::feed::Row;
use crate::fleet::{Fleet, FleetShape};
use crate::plan::{plan, Action};
use crate::State;
use serde::Serialize;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// Beats between two actions.
const APART: u32 = 3;
/// The longest wait for copies to be equal after the last fault, in beats; reached only by a failure.
const EQUAL_WITHIN: u32 = 300;
/// Servers that lists name. Nobody listens there: what counts is whether fronts would use them.
const SERVERS: usize = 12;

/// What a run came to.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    pub scenario: &'static str,
    pub seed: u64,
    pub fronts: usize,
    pub steps: usize,
    pub starts: u64,
    /// Beats from the last fault until all checks held.
    pub equal_after_beats: f64,
    pub meetings: u64,
    pub frames_passed: u64,
    pub frames_lost: u64,
    /// Frames that fronts dropped, by reason.
    pub frames_dropped: u64,
    pub breaches: Vec<String>,
}

fn server(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 9, 1], 20_000 + n as u16))
}

fn pool(n: usize) -> u16 {
    (n % 3) as u16
}

/// Starts the fleet, plays the plan of the shape's seed, heals everything and checks; `tell` gets progress.
pub fn play(
    shape: &FleetShape,
    steps: usize,
    folder: Option<&Path>,
    tell: &mut dyn FnMut(String),
) -> io::Result<Summary> {
    let mut shape = shape.clone();
    shape.keep_every.get_or_insert(shape.every / 2);
    let mut fleet = Fleet::new(&shape, folder)?;
    let mut latest = [1; SERVERS];
    for feed in &fleet.feeds {
        (0..SERVERS)
            .for_each(|n| feed.set(server(n), Row { pool: pool(n), state: State::Ready, incarnation: 1 }));
    }
    (0..shape.fronts).try_for_each(|front| fleet.start(front))?;
    for action in plan(shape.seed, shape.fronts, SERVERS, steps) {
        tell(format!("{action:?}"));
        act(&mut fleet, &mut latest, &action)?;
        for front in 0..shape.fronts {
            if let Some(why) = fleet.ended(front)? {
                return Err(fleet.told(front, &format!("ended by itself, {why}")));
            }
        }
        std::thread::sleep(shape.every * APART);
    }
    fleet.relays.set(|faults| *faults = Default::default());
    for front in 0..shape.fronts {
        fleet.hold(front, false)?;
        fleet.start(front)?;
    }
    let healed = Instant::now();
    let beats = |since: Instant| since.elapsed().as_secs_f64() / shape.every.as_secs_f64();
    let (mut breaches, mut seen);
    loop {
        seen = look(&fleet)?;
        breaches = check(&seen);
        if breaches.is_empty() || beats(healed) > f64::from(EQUAL_WITHIN) {
            break;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let equal_after_beats = beats(healed);
    let (frames_passed, frames_lost) = fleet.relays.counts();
    let dropped = |s: &Seen| s.standing.counts.iter().filter(|c| is_drop(c.0)).map(|c| c.1).sum::<u64>();
    Ok(Summary {
        scenario: "fleet",
        seed: shape.seed,
        fronts: shape.fronts,
        steps,
        starts: fleet.starts,
        equal_after_beats,
        meetings: seen.iter().map(|s| s.standing.conflict_count).sum(),
        frames_passed,
        frames_lost,
        frames_dropped: seen.iter().map(dropped).sum(),
        breaches: breaches.iter().map(|b: &Breach| format!("{b:?}")).collect(),
    })
}

fn is_drop(count: &str) -> bool {
    count.starts_with("frames_") && !matches!(count, "frames_sent" | "frames_unsent")
}

/// What every front says now.
pub fn look(fleet: &Fleet) -> io::Result<Vec<Seen>> {
    let one = |front: usize| {
        let silent = || fleet.told(front, "does not answer");
        let standing = fleet.standing(front).ok_or_else(silent)?;
        let members = fleet.members(front).ok_or_else(silent)?;
        Ok(Seen { rows: fleet.feeds[front].rows(), standing, members })
    };
    (0..fleet.count()).map(one).collect()
}

fn act(fleet: &mut Fleet, latest: &mut [u64; SERVERS], action: &Action) -> io::Result<()> {
    let count = fleet.count();
    match action {
        Action::Tell { fronts, server: n, state, anew } => {
            // A start anew is a later one than any list knows of.
            latest[*n] += u64::from(*anew && *state == State::Ready);
            for front in fronts {
                let row = Row { pool: pool(*n), state: *state, incarnation: latest[*n] };
                let known = fleet.feeds[*front].rows().get(&server(*n)).copied();
                // A list takes nothing back of one start.
                if known.is_none_or(|k| (k.incarnation, k.state) < (row.incarnation, row.state)) {
                    fleet.feeds[*front].set(server(*n), row);
                }
            }
        }
        Action::Kill(front) => fleet.kill(*front),
        Action::Start(front) => fleet.start(*front)?,
        Action::End(front) => {
            fleet.hold(*front, false)?;
            fleet.end(*front)?;
        }
        Action::PutAside(front) => {
            fleet.put_aside(*front)?;
            fleet.start(*front)?;
        }
        Action::StartOld(front) => {
            fleet.put_back(*front)?;
            fleet.start(*front)?;
        }
        Action::Hold(front) => fleet.hold(*front, true)?,
        Action::Wake(front) => fleet.hold(*front, false)?,
        Action::CutOff(some) => fleet.relays.set(|faults| {
            let apart = |a: usize, b: usize| some.contains(&a) != some.contains(&b);
            faults.cut = (0..count)
                .flat_map(|a| (0..count).map(move |b| (a, b)))
                .filter(|(a, b)| apart(*a, *b))
                .collect();
        }),
        Action::Mute(front) => {
            fleet.relays.set(|faults| faults.cut.extend((0..count).map(|to| (*front, to))))
        }
        Action::Heal => fleet.relays.set(|faults| faults.cut.clear()),
        Action::Spoil { loss, double, garble } => {
            let part = |n: &u8| f64::from(*n) / 100.0;
            fleet.relays.set(|faults| {
                (faults.loss, faults.double, faults.garble) = (part(loss), part(double), part(garble));
                faults.delay = Duration::from_millis(u64::from(*double));
            });
        }
    }
    Ok(())
}
