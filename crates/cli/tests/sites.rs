//! Loss and return of sites in a fleet of processes: six fronts in three sites, with a relay on every path
//! between fronts and from each front to each server.

#[path = "common/process.rs"]
#[allow(dead_code)]
mod process;

use process::{wait_for_value, wait_until};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shalespindle_console::{Order, Reply, Request};
use shalespindle_rig::{Faults, Fleet, FleetShape, Row, Servers, State};
use shalespindle_sites::{SiteState, SiteStatus, Stage};
use std::process::Command;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_shalespindle");
const SITES: [&str; 3] = ["north", "south", "west"];
const FRONTS: usize = 6;
/// Fronts and servers per site; site `n` has the `n`-th pair of each.
const PER_SITE: usize = 2;

/// Fronts and servers of all sites, with relays on the paths between them.
struct Sites {
    fleet: Fleet,
    servers: Servers,
}

/// The site of a front.
fn site_of(front: usize) -> usize {
    front / PER_SITE
}

/// The settings of the sites and of their plan.
fn site_settings() -> String {
    let site = |(n, name): (usize, &&str)| {
        let (a, b) = (PER_SITE * n, PER_SITE * n + 1);
        format!("[[sites]]\nname = \"{name}\"\nfronts = [\"f{a}\", \"f{b}\"]\npools = [{a}, {b}]\nbears = 500.0\n")
    };
    let sites: String = SITES.iter().enumerate().map(site).collect();
    format!(
        "{sites}[site_plan]\nevery = \"200ms\"\nsilent_after = \"600ms\"\nlost_after = \"500ms\"\n\
         return_after = \"800ms\"\nstep_stay = \"400ms\"\nsteps = [0.0, 0.5, 1.0]\n"
    )
}

impl Sites {
    /// Starts all fronts with these additional settings.
    fn new(settings: String) -> Sites {
        let mut shape = FleetShape::new(PROGRAM, FRONTS, 1);
        (shape.tables, shape.pools) = (settings, (0..(PER_SITE * SITES.len()) as u16).collect());
        let mut fleet = Fleet::new(&shape, None).unwrap();
        let servers = Servers::start(FRONTS, PER_SITE * SITES.len()).unwrap();
        for front in 0..FRONTS {
            for server in 0..servers.count() {
                let row = Row { pool: server as u16, state: State::Ready, incarnation: 1 };
                fleet.feeds[front].set(servers.address(front, server), row);
            }
            fleet.start(front).unwrap();
        }
        Sites { fleet, servers }
    }

    /// Starts all fronts with sites and waits until every front reports all sites as up.
    fn settled() -> Sites {
        let sites = Sites::new(site_settings());
        sites.wait_for_all_sites(0..FRONTS, |site| {
            site.state == SiteState::Up && site.reached == site.outside
        });
        sites
    }

    /// The status of a site as a front reports it.
    fn site(&self, front: usize, site: usize) -> Option<SiteStatus> {
        self.fleet.status(front)?.sites?.sites.into_iter().nth(site)
    }

    /// Waits until the condition holds for all sites at these fronts.
    fn wait_for_all_sites(&self, fronts: std::ops::Range<usize>, holds: impl Fn(&SiteStatus) -> bool) {
        (0..SITES.len()).for_each(|site| self.wait_for_site(fronts.clone(), site, &holds));
    }

    /// Waits until the condition holds for one site at these fronts.
    fn wait_for_site(
        &self,
        fronts: std::ops::Range<usize>,
        site: usize,
        holds: impl Fn(&SiteStatus) -> bool,
    ) {
        for front in fronts {
            let what = format!("the expected status of {} at f{front}", SITES[site]);
            wait_for_value(&what, || self.site(front, site), |got| got.as_ref().is_some_and(&holds));
        }
    }

    fn servers_of(&self, site: usize) -> std::ops::Range<usize> {
        PER_SITE * site..PER_SITE * site + PER_SITE
    }

    /// Cuts all paths between the fronts of a site and other fronts, and all links into or out of the site.
    fn cut_off(&self, site: usize) {
        self.fleet.relays.set(|faults: &mut Faults| {
            let pairs = (0..FRONTS).flat_map(|a| (0..FRONTS).map(move |b| (a, b)));
            faults.cut = pairs.filter(|(a, b)| (site_of(*a) == site) != (site_of(*b) == site)).collect();
        });
        let links = (0..FRONTS).flat_map(|f| (0..self.servers.count()).map(move |s| (f, s)));
        self.servers.cut(links.filter(|(f, s)| (site_of(*f) == site) != (s / PER_SITE == site)));
    }

    /// Ends all cuts.
    fn heal(&self) {
        self.fleet.relays.set(|faults| faults.cut.clear());
        self.servers.cut([]);
    }

    fn order(&self, front: usize, site: &str, order: Order, seconds: f64) -> Reply {
        self.fleet.ask(front, &Request::Site { name: site.into(), order, seconds }).unwrap()
    }
}

fn has_stage(stage: Stage) -> impl Fn(&SiteStatus) -> bool {
    move |site| site.stage == stage
}

#[test]
fn a_crashed_site_is_lost_at_all_fronts_and_returns_in_steps() {
    let mut sites = Sites::settled();
    sites.servers_of(0).for_each(|server| sites.servers.stop(server));
    (0..PER_SITE).for_each(|front| sites.fleet.kill(front));
    sites.wait_for_site(PER_SITE..FRONTS, 0, |site| {
        site.stage == Stage::Lost && site.excluded_here && site.fronts_alive == 0
    });
    sites.wait_for_site(PER_SITE..FRONTS, 1, has_stage(Stage::Up));
    for server in sites.servers_of(0) {
        sites.servers.restart(server).unwrap();
    }
    (0..PER_SITE).for_each(|front| sites.fleet.start(front).unwrap());
    // The site returns for its own fronts before all others.
    sites.wait_for_site(0..PER_SITE, 0, |site| {
        matches!(site.stage, Stage::Returning { .. }) && !site.excluded_here
    });
    sites.wait_for_site(0..FRONTS, 0, |site| {
        site.state == SiteState::Up && !site.excluded_here && site.losses == 1
    });
}

#[test]
fn a_site_with_silent_servers_is_lost_though_its_fronts_run() {
    let sites = Sites::settled();
    sites.servers_of(1).for_each(|server| sites.servers.silence(server, true));
    sites.wait_for_site(0..FRONTS, 1, has_stage(Stage::Lost));
    sites.wait_for_site(0..PER_SITE, 1, |site| site.excluded_here && site.fronts_alive == PER_SITE);
    // The fronts of the site use their own observations.
    sites.wait_for_site(PER_SITE..2 * PER_SITE, 1, |site| !site.excluded_here);
    sites.servers_of(1).for_each(|server| sites.servers.silence(server, false));
    sites.wait_for_site(0..FRONTS, 1, |site| site.state == SiteState::Up && !site.excluded_here);
}

#[test]
fn crashed_fronts_or_a_cut_between_two_sites_are_no_site_loss() {
    let mut sites = Sites::settled();
    (0..PER_SITE).for_each(|front| sites.fleet.kill(front));
    sites.wait_for_site(PER_SITE..FRONTS, 0, |site| site.fronts_alive == 0);
    sites.wait_for_site(PER_SITE..FRONTS, 0, |site| site.stage == Stage::Up && site.reached == site.outside);
    (0..PER_SITE).for_each(|front| sites.fleet.start(front).unwrap());
    sites.wait_for_site(0..FRONTS, 0, |site| site.state == SiteState::Up && site.fronts_alive == PER_SITE);
    // North and south cannot reach each other, while west reaches both.
    let apart = |a: usize, b: usize| a != b && a < 2 && b < 2;
    sites.fleet.relays.set(|faults| {
        let pairs = (0..FRONTS).flat_map(|a| (0..FRONTS).map(move |b| (a, b)));
        faults.cut = pairs.filter(|(a, b)| apart(site_of(*a), site_of(*b))).collect();
    });
    let links = (0..FRONTS).flat_map(|f| (0..sites.servers.count()).map(move |s| (f, s)));
    sites.servers.cut(links.filter(|(f, s)| apart(site_of(*f), s / PER_SITE)));
    for site in [0, 1] {
        sites.wait_for_site(0..FRONTS, site, |site| {
            site.state == SiteState::Doubtful && site.missed == PER_SITE
        });
    }
    // A hundred frames of observations take longer than declaring a loss would.
    let epoch = sites.site(4, 0).unwrap().epoch;
    let frames_sent = |sites: &Sites| sites.fleet.status(4).unwrap().counts["frames_sent"];
    let start = frames_sent(&sites);
    wait_until("a hundred more frames", || frames_sent(&sites) > start + 100);
    sites.wait_for_all_sites(0..FRONTS, has_stage(Stage::Up));
    assert_eq!(sites.site(4, 0).unwrap().epoch, epoch);
}

#[test]
fn a_cut_off_site_declares_no_loss_and_adopts_the_fleets_state_when_the_cut_heals() {
    let sites = Sites::settled();
    sites.cut_off(0);
    sites.wait_for_site(PER_SITE..FRONTS, 0, has_stage(Stage::Lost));
    sites.wait_for_site(0..PER_SITE, 1, |site| {
        site.state == SiteState::CutOff && site.stage == Stage::Up && !site.excluded_here
    });
    sites.wait_for_site(0..PER_SITE, 2, |site| site.state == SiteState::CutOff && site.stage == Stage::Up);
    // An order is refused by a front that reaches too few other fronts.
    let refused = sites.order(0, "west", Order::KeepOut, 60.0);
    assert!(
        matches!(&refused, Reply::Bad { why } if why.contains("cut off") && why.contains("more than half"))
    );
    sites.heal();
    sites.wait_for_site(0..PER_SITE, 0, |site| site.epoch > 0);
    sites.wait_for_all_sites(0..FRONTS, |site| site.state == SiteState::Up && !site.excluded_here);
}

#[test]
fn an_operators_order_reaches_all_fronts_including_stopped_and_later_ones() {
    let mut sites = Sites::settled();
    sites.fleet.set_paused(3, true).unwrap();
    sites.fleet.kill(5);
    let output = Command::new(PROGRAM)
        .args(["fleet", "site", "west", "keep-out", "--for", "10m", "--config"])
        .arg(sites.fleet.settings(0))
        .output()
        .unwrap();
    assert!(output.status.success(), "{output:?}");
    sites.wait_for_site(0..3, 2, |site| site.stage == Stage::KeptOut && site.excluded_here);
    // The fronts of the site do not use its servers either.
    sites.wait_for_site(4..5, 2, |site| site.stage == Stage::KeptOut && site.excluded_here);
    sites.fleet.set_paused(3, false).unwrap();
    sites.fleet.start(5).unwrap();
    sites.wait_for_site(3..FRONTS, 2, |site| site.stage == Stage::KeptOut && site.excluded_here);
    assert!(matches!(sites.order(4, "west", Order::Return, 60.0), Reply::Done { .. }));
    sites.wait_for_site(0..FRONTS, 2, |site| site.state == SiteState::Up && !site.excluded_here);
    for (site, seconds, expected) in [("east", 60.0, "north, south, west"), ("west", 0.0, "--for")] {
        let refused = sites.order(1, site, Order::Lost, seconds);
        assert!(matches!(&refused, Reply::Bad { why } if why.contains(expected)), "{refused:?}");
    }
    let text =
        Command::new(PROGRAM).args(["fleet", "status", "--config"]).arg(sites.fleet.settings(0)).output();
    let text = String::from_utf8(text.unwrap().stdout).unwrap();
    assert!(text.contains("west") && text.contains("if it is lost"), "{text}");
}

#[test]
fn fronts_without_sites_send_no_site_frames_and_work_with_fronts_that_have_them() {
    const SITES_VERSION: u8 = 3;
    let sites = Sites::new(String::new());
    let all_alive = || sites.fleet.status(0).unwrap().peers.iter().all(|p| p.state == "alive");
    wait_until("all fronts alive", all_alive);
    assert!((0..FRONTS).all(|f| sites.fleet.relays.frames_sent(f, SITES_VERSION) == 0));
    assert!(sites.fleet.status(0).unwrap().sites.is_none());
    let refused = sites.order(0, "north", Order::Lost, 60.0);
    assert!(matches!(&refused, Reply::Bad { why } if why.contains("[[sites]]")), "{refused:?}");
    drop(sites);
    // The last front of each site acts as an older version: its settings name no sites.
    let mut sites = Sites::settled();
    for front in [1, 3, 5] {
        sites.fleet.kill(front);
        let settings = std::fs::read_to_string(sites.fleet.settings(front)).unwrap();
        let without_sites = settings.split("[[sites]]").next().unwrap().to_string();
        std::fs::write(sites.fleet.settings(front), without_sites).unwrap();
        sites.fleet.start(front).unwrap();
    }
    wait_until("all fronts alive", || {
        (0..FRONTS).all(|f| sites.fleet.status(f).unwrap().peers.iter().all(|p| p.state == "alive"))
    });
    assert!([1, 3, 5].iter().all(|f| sites.fleet.status(*f).unwrap().sites.is_none()));
    // Half of the fronts report no observations, so the others are too few to declare a loss.
    sites.servers_of(2).for_each(|server| sites.servers.stop(server));
    sites.wait_for_site(0..1, 2, |site| site.state == SiteState::Doubtful);
    assert_eq!(sites.site(2, 2).unwrap().stage, Stage::Up);
}

/// A fault, a recovery or an order of a random run.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill(usize),
    Start(usize),
    Stop(usize),
    Continue(usize),
    CutOff(usize),
    Heal,
    StopServer(usize),
    StartServer(usize),
    Order(usize, usize, Order),
}

impl Fault {
    fn draw(rng: &mut ChaCha8Rng) -> Fault {
        let (front, site) = (rng.random_range(0..FRONTS), rng.random_range(0..SITES.len()));
        let order = *[Order::Lost, Order::KeepOut, Order::Return].choose(rng).unwrap();
        let server = rng.random_range(0..PER_SITE * SITES.len());
        let all = [
            Fault::Kill(front),
            Fault::Start(front),
            Fault::Stop(front),
            Fault::Continue(front),
            Fault::CutOff(site),
            Fault::Heal,
            Fault::StopServer(server),
            Fault::StartServer(server),
            Fault::Order(front, site, order),
        ];
        *all.choose(rng).unwrap()
    }

    fn apply(self, sites: &mut Sites) {
        match self {
            Fault::Kill(front) => sites.fleet.kill(front),
            Fault::Start(front) => sites.fleet.start(front).unwrap(),
            Fault::Stop(front) => sites.fleet.set_paused(front, true).unwrap(),
            Fault::Continue(front) => sites.fleet.set_paused(front, false).unwrap(),
            Fault::CutOff(site) => sites.cut_off(site),
            Fault::Heal => sites.heal(),
            Fault::StopServer(server) => sites.servers.stop(server),
            Fault::StartServer(server) => sites.servers.restart(server).unwrap(),
            // A front that is cut off may refuse the order.
            Fault::Order(front, site, order) if sites.fleet.is_up(front) => {
                sites.order(front, SITES[site], order, 60.0);
            }
            Fault::Order(..) => {}
        }
    }
}

/// Applies random faults by seed, then ends them all: every front must report all sites as up again.
fn random_faults_end_with_all_sites_up(seed: u64) {
    const STEPS: usize = 24;
    const INTERVAL: Duration = Duration::from_millis(300);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut sites = Sites::settled();
    let mut servers_down = std::collections::BTreeSet::new();
    for _ in 0..STEPS {
        let fault = Fault::draw(&mut rng);
        match fault {
            Fault::StopServer(server) if !servers_down.insert(server) => continue,
            Fault::StartServer(server) if !servers_down.remove(&server) => continue,
            _ => {}
        }
        eprintln!("seed {seed}: {fault:?}");
        fault.apply(&mut sites);
        std::thread::sleep(INTERVAL);
    }
    sites.heal();
    servers_down.into_iter().for_each(|server| sites.servers.restart(server).unwrap());
    for front in 0..FRONTS {
        sites.fleet.set_paused(front, false).unwrap();
        sites.fleet.start(front).unwrap();
    }
    wait_until("all fronts alive", || {
        (0..FRONTS).all(|f| sites.fleet.status(f).unwrap().peers.iter().all(|p| p.state == "alive"))
    });
    for site in SITES {
        wait_until("the order to be accepted", || {
            matches!(sites.order(0, site, Order::Return, 60.0), Reply::Done { .. })
        });
    }
    sites.wait_for_all_sites(0..FRONTS, |site| site.state == SiteState::Up && !site.excluded_here);
}

#[test]
fn random_faults_of_the_first_seed_end_with_all_sites_up() {
    random_faults_end_with_all_sites_up(1);
}

#[test]
fn random_faults_of_the_second_seed_end_with_all_sites_up() {
    random_faults_end_with_all_sites_up(2);
}

#[test]
fn random_faults_of_the_third_seed_end_with_all_sites_up() {
    random_faults_end_with_all_sites_up(3);
}
