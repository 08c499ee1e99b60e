//! Runs a plan of faults on processes, ends all faults and checks the fleet.

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

/// Heartbeats between two actions.
const ACTION_HEARTBEATS: u32 = 3;
/// Maximum wait for all checks to hold after the last fault, in heartbeats; reached only when the run fails.
const MAX_EQUAL_HEARTBEATS: u32 = 300;
/// Number of servers on the lists. Nothing listens on their addresses: only whether the fronts would use them is
/// checked.
const SERVER_COUNT: usize = 12;

/// The result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    pub scenario: &'static str,
    pub seed: u64,
    pub fronts: usize,
    pub steps: usize,
    /// Processes started, restarts included.
    pub starts: u64,
    /// Heartbeats from the last fault until all checks held.
    pub equal_after_beats: f64,
    /// Conflicts that the fronts counted, summed over all fronts.
    pub meetings: u64,
    /// Frames that the relays forwarded, and that they dropped.
    pub frames_passed: u64,
    pub frames_lost: u64,
    /// Frames that fronts dropped, for any reason.
    pub frames_dropped: u64,
    pub breaches: Vec<String>,
}

fn server(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 9, 1], 20_000 + n as u16))
}

fn pool(n: usize) -> u16 {
    (n % 3) as u16
}

/// Starts the fleet, runs the plan of the shape's seed, ends all faults and checks; `report_progress` gets each
/// action.
pub fn play(
    shape: &FleetShape,
    steps: usize,
    folder: Option<&Path>,
    report_progress: &mut dyn FnMut(String),
) -> io::Result<Summary> {
    let mut shape = shape.clone();
    shape.keep_every.get_or_insert(shape.heartbeat_interval / 2);
    let mut fleet = Fleet::new(&shape, folder)?;
    let mut latest = [1; SERVER_COUNT];
    for feed in &fleet.feeds {
        (0..SERVER_COUNT)
            .for_each(|n| feed.set(server(n), Row { pool: pool(n), state: State::Ready, incarnation: 1 }));
    }
    (0..shape.fronts).try_for_each(|front| fleet.start(front))?;
    for action in plan(shape.seed, shape.fronts, SERVER_COUNT, steps) {
        report_progress(format!("{action:?}"));
        apply(&mut fleet, &mut latest, &action)?;
        for front in 0..shape.fronts {
            if let Some(why) = fleet.ended(front)? {
                return Err(fleet.error_with_log(front, &format!("ended unexpectedly: {why}")));
            }
        }
        std::thread::sleep(shape.heartbeat_interval * ACTION_HEARTBEATS);
    }
    fleet.relays.set(|faults| *faults = Default::default());
    for front in 0..shape.fronts {
        fleet.hold(front, false)?;
        fleet.start(front)?;
    }
    let healed = Instant::now();
    let heartbeats_since =
        |since: Instant| since.elapsed().as_secs_f64() / shape.heartbeat_interval.as_secs_f64();
    let (mut breaches, mut seen);
    loop {
        seen = look(&fleet)?;
        breaches = check(&seen);
        if breaches.is_empty() || heartbeats_since(healed) > f64::from(MAX_EQUAL_HEARTBEATS) {
            break;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let equal_after_beats = heartbeats_since(healed);
    let (frames_passed, frames_lost) = fleet.relays.counts();
    let dropped =
        |s: &Seen| s.standing.counts.iter().filter(|c| is_drop_counter(c.0)).map(|c| c.1).sum::<u64>();
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

fn is_drop_counter(count: &str) -> bool {
    count.starts_with("frames_") && !matches!(count, "frames_sent" | "frames_unsent")
}

/// The current state of every front, as it reports it.
pub fn look(fleet: &Fleet) -> io::Result<Vec<Seen>> {
    let look_at = |front: usize| {
        let no_answer = || fleet.error_with_log(front, "does not answer");
        let standing = fleet.standing(front).ok_or_else(no_answer)?;
        let members = fleet.members(front).ok_or_else(no_answer)?;
        Ok(Seen { rows: fleet.feeds[front].rows(), standing, members })
    };
    (0..fleet.count()).map(look_at).collect()
}

/// Applies one action; `latest` holds the latest incarnation of each server.
fn apply(fleet: &mut Fleet, latest: &mut [u64; SERVER_COUNT], action: &Action) -> io::Result<()> {
    let count = fleet.count();
    match action {
        Action::Tell { fronts, server: n, state, anew } => {
            // A new incarnation is later than any that the lists have had.
            latest[*n] += u64::from(*anew && *state == State::Ready);
            for front in fronts {
                let row = Row { pool: pool(*n), state: *state, incarnation: latest[*n] };
                let known = fleet.feeds[*front].rows().get(&server(*n)).copied();
                // Within one incarnation, a list never returns to an earlier state.
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
        Action::CutOff(isolated) => fleet.relays.set(|faults| {
            let separated = |a: usize, b: usize| isolated.contains(&a) != isolated.contains(&b);
            faults.cut = (0..count)
                .flat_map(|a| (0..count).map(move |b| (a, b)))
                .filter(|(a, b)| separated(*a, *b))
                .collect();
        }),
        Action::Mute(front) => {
            fleet.relays.set(|faults| faults.cut.extend((0..count).map(|to| (*front, to))))
        }
        Action::Heal => fleet.relays.set(|faults| faults.cut.clear()),
        Action::Spoil { loss, double, garble } => {
            let fraction = |n: &u8| f64::from(*n) / 100.0;
            fleet.relays.set(|faults| {
                (faults.loss, faults.double, faults.garble) =
                    (fraction(loss), fraction(double), fraction(garble));
                faults.delay = Duration::from_millis(u64::from(*double));
            });
        }
    }
    Ok(())
}
