//! Loss and return of sites over several processes of the program: six fronts in three sites, a relay on every path
//! between fronts and from each front to each server.

#[path = "common/process.rs"]
#[allow(dead_code)]
mod process;

use process::{until, until_got};
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
/// Two fronts and two servers a site, in the order of their numbers.
const EACH: usize = 2;

struct Country {
    fleet: Fleet,
    servers: Servers,
}

fn home(front: usize) -> usize {
    front / EACH
}

fn tables() -> String {
    let site = |(n, name): (usize, &&str)| {
        let (a, b) = (EACH * n, EACH * n + 1);
        format!("[[sites]]\nname = \"{name}\"\nfronts = [\"f{a}\", \"f{b}\"]\npools = [{a}, {b}]\nbears = 500.0\n")
    };
    let sites: String = SITES.iter().enumerate().map(site).collect();
    format!(
        "{sites}[site_plan]\nevery = \"200ms\"\nsilent_after = \"600ms\"\nlost_after = \"500ms\"\n\
         return_after = \"800ms\"\nstep_stay = \"400ms\"\nsteps = [0.0, 0.5, 1.0]\n"
    )
}

impl Country {
    /// All fronts in service, all sites up at all of them.
    fn new(tables: String) -> Country {
        let mut shape = FleetShape::new(PROGRAM, FRONTS, 1);
        (shape.tables, shape.pools) = (tables, (0..(EACH * SITES.len()) as u16).collect());
        let mut fleet = Fleet::new(&shape, None).unwrap();
        let servers = Servers::start(FRONTS, EACH * SITES.len()).unwrap();
        for front in 0..FRONTS {
            for server in 0..servers.count() {
                let row = Row { pool: server as u16, state: State::Ready, incarnation: 1 };
                fleet.feeds[front].set(servers.address(front, server), row);
            }
            fleet.start(front).unwrap();
        }
        Country { fleet, servers }
    }

    fn settled() -> Country {
        let country = Country::new(tables());
        country.all(0..FRONTS, |site| site.state == SiteState::Up && site.reached == site.outside);
        country
    }

    fn site(&self, front: usize, site: usize) -> Option<SiteStatus> {
        self.fleet.standing(front)?.sites?.sites.into_iter().nth(site)
    }

    /// Waits until those fronts see all sites so.
    fn all(&self, fronts: std::ops::Range<usize>, holds: impl Fn(&SiteStatus) -> bool) {
        (0..SITES.len()).for_each(|site| self.see(fronts.clone(), site, &holds));
    }

    /// Waits until those fronts see one site so.
    fn see(&self, fronts: std::ops::Range<usize>, site: usize, holds: impl Fn(&SiteStatus) -> bool) {
        for front in fronts {
            let what = format!("what f{front} sees of {}", SITES[site]);
            until_got(&what, || self.site(front, site), |got| got.as_ref().is_some_and(&holds));
        }
    }

    fn servers_of(&self, site: usize) -> std::ops::Range<usize> {
        EACH * site..EACH * site + EACH
    }

    /// Cuts a site's fronts from all others, and every link into or out of it.
    fn cut_off(&self, site: usize) {
        self.fleet.relays.set(|faults: &mut Faults| {
            let pairs = (0..FRONTS).flat_map(|a| (0..FRONTS).map(move |b| (a, b)));
            faults.cut = pairs.filter(|(a, b)| (home(*a) == site) != (home(*b) == site)).collect();
        });
        let links = (0..FRONTS).flat_map(|f| (0..self.servers.count()).map(move |s| (f, s)));
        self.servers.cut(links.filter(|(f, s)| (home(*f) == site) != (s / EACH == site)));
    }

    fn heal(&self) {
        self.fleet.relays.set(|faults| faults.cut.clear());
        self.servers.cut([]);
    }

    fn order(&self, front: usize, site: &str, order: Order, seconds: f64) -> Reply {
        self.fleet.ask(front, &Request::Site { name: site.into(), order, seconds }).unwrap()
    }
}

fn is(stage: Stage) -> impl Fn(&SiteStatus) -> bool {
    move |site| site.stage == stage
}

#[test]
fn a_site_that_dies_whole_is_lost_everywhere_and_comes_back_in_steps() {
    let mut country = Country::settled();
    country.servers_of(0).for_each(|server| country.servers.stop(server));
    (0..EACH).for_each(|front| country.fleet.kill(front));
    country.see(EACH..FRONTS, 0, |site| {
        site.stage == Stage::Lost && site.excluded_here && site.fronts_alive == 0
    });
    country.see(EACH..FRONTS, 1, is(Stage::Up));
    for server in country.servers_of(0) {
        country.servers.start_again(server).unwrap();
    }
    (0..EACH).for_each(|front| country.fleet.start(front).unwrap());
    // Home callers first: its own fronts use it before all others do.
    country.see(0..EACH, 0, |site| matches!(site.stage, Stage::Returning { .. }) && !site.excluded_here);
    country.see(0..FRONTS, 0, |site| site.state == SiteState::Up && !site.excluded_here && site.losses == 1);
}

#[test]
fn servers_that_fall_silent_are_a_loss_though_the_sites_fronts_live() {
    let country = Country::settled();
    country.servers_of(1).for_each(|server| country.servers.silence(server, true));
    country.see(0..FRONTS, 1, is(Stage::Lost));
    country.see(0..EACH, 1, |site| site.excluded_here && site.fronts_alive == EACH);
    // Its own fronts go by what they see themselves.
    country.see(EACH..2 * EACH, 1, |site| !site.excluded_here);
    country.servers_of(1).for_each(|server| country.servers.silence(server, false));
    country.see(0..FRONTS, 1, |site| site.state == SiteState::Up && !site.excluded_here);
}

#[test]
fn fronts_that_die_alone_and_a_site_cut_from_one_other_only_are_no_loss() {
    let mut country = Country::settled();
    (0..EACH).for_each(|front| country.fleet.kill(front));
    country.see(EACH..FRONTS, 0, |site| site.fronts_alive == 0);
    country.see(EACH..FRONTS, 0, |site| site.stage == Stage::Up && site.reached == site.outside);
    (0..EACH).for_each(|front| country.fleet.start(front).unwrap());
    country.see(0..FRONTS, 0, |site| site.state == SiteState::Up && site.fronts_alive == EACH);
    // North and south no longer hear or reach each other; west hears and reaches both.
    let apart = |a: usize, b: usize| a != b && a < 2 && b < 2;
    country.fleet.relays.set(|faults| {
        let pairs = (0..FRONTS).flat_map(|a| (0..FRONTS).map(move |b| (a, b)));
        faults.cut = pairs.filter(|(a, b)| apart(home(*a), home(*b))).collect();
    });
    let links = (0..FRONTS).flat_map(|f| (0..country.servers.count()).map(move |s| (f, s)));
    country.servers.cut(links.filter(|(f, s)| apart(home(*f), s / EACH)));
    for site in [0, 1] {
        country.see(0..FRONTS, site, |site| site.state == SiteState::Doubtful && site.missed == EACH);
    }
    // Longer than it takes to declare a loss, counted in what is seen: sights go on all the time.
    let epoch = country.site(4, 0).unwrap().epoch;
    let sights = |country: &Country| country.fleet.standing(4).unwrap().counts["frames_sent"];
    let begin = sights(&country);
    until("a hundred more frames", || sights(&country) > begin + 100);
    country.all(0..FRONTS, is(Stage::Up));
    assert_eq!(country.site(4, 0).unwrap().epoch, epoch);
}

#[test]
fn a_site_that_is_cut_off_declares_nobody_and_takes_up_the_others_word_when_the_cut_heals() {
    let country = Country::settled();
    country.cut_off(0);
    country.see(EACH..FRONTS, 0, is(Stage::Lost));
    country.see(0..EACH, 1, |site| {
        site.state == SiteState::CutOff && site.stage == Stage::Up && !site.excluded_here
    });
    country.see(0..EACH, 2, |site| site.state == SiteState::CutOff && site.stage == Stage::Up);
    // An order is not taken where it would reach too few.
    let refused = country.order(0, "west", Order::KeepOut, 60.0);
    assert!(
        matches!(&refused, Reply::Bad { why } if why.contains("cut off") && why.contains("more than half"))
    );
    country.heal();
    country.see(0..EACH, 0, |site| site.epoch > 0);
    country.all(0..FRONTS, |site| site.state == SiteState::Up && !site.excluded_here);
}

#[test]
fn an_operators_word_reaches_all_fronts_and_one_that_was_stopped_or_starts_later() {
    let mut country = Country::settled();
    country.fleet.hold(3, true).unwrap();
    country.fleet.kill(5);
    let output = Command::new(PROGRAM)
        .args(["fleet", "site", "west", "keep-out", "--for", "10m", "--config"])
        .arg(country.fleet.settings(0))
        .output()
        .unwrap();
    assert!(output.status.success(), "{output:?}");
    country.see(0..3, 2, |site| site.stage == Stage::KeptOut && site.excluded_here);
    // Its own fronts leave its servers alone, too.
    country.see(4..5, 2, |site| site.stage == Stage::KeptOut && site.excluded_here);
    country.fleet.hold(3, false).unwrap();
    country.fleet.start(5).unwrap();
    country.see(3..FRONTS, 2, |site| site.stage == Stage::KeptOut && site.excluded_here);
    assert!(matches!(country.order(4, "west", Order::Return, 60.0), Reply::Done { .. }));
    country.see(0..FRONTS, 2, |site| site.state == SiteState::Up && !site.excluded_here);
    for (site, seconds, part) in [("east", 60.0, "north, south, west"), ("west", 0.0, "--for")] {
        let refused = country.order(1, site, Order::Lost, seconds);
        assert!(matches!(&refused, Reply::Bad { why } if why.contains(part)), "{refused:?}");
    }
    let text =
        Command::new(PROGRAM).args(["fleet", "status", "--config"]).arg(country.fleet.settings(0)).output();
    let text = String::from_utf8(text.unwrap().stdout).unwrap();
    assert!(text.contains("west") && text.contains("were it lost"), "{text}");
}

#[test]
fn without_sites_nothing_is_told_of_any_and_beside_fronts_without_them_those_with_them_serve_on() {
    const SITES_VERSION: u8 = 3;
    let country = Country::new(String::new());
    let heard = || country.fleet.standing(0).unwrap().peers.iter().all(|p| p.state == "alive");
    until("all hear each other", heard);
    assert!((0..FRONTS).all(|f| country.fleet.relays.sent_in(f, SITES_VERSION) == 0));
    assert!(country.fleet.standing(0).unwrap().sites.is_none());
    let refused = country.order(0, "north", Order::Lost, 60.0);
    assert!(matches!(&refused, Reply::Bad { why } if why.contains("[[sites]]")), "{refused:?}");
    drop(country);
    // The last front of each site is of before: its settings name no sites, and it answers nothing about them.
    let mut country = Country::settled();
    for front in [1, 3, 5] {
        country.fleet.kill(front);
        let settings = std::fs::read_to_string(country.fleet.settings(front)).unwrap();
        let before = settings.split("[[sites]]").next().unwrap().to_string();
        std::fs::write(country.fleet.settings(front), before).unwrap();
        country.fleet.start(front).unwrap();
    }
    until("all hear each other", || {
        (0..FRONTS).all(|f| country.fleet.standing(f).unwrap().peers.iter().all(|p| p.state == "alive"))
    });
    assert!([1, 3, 5].iter().all(|f| country.fleet.standing(*f).unwrap().sites.is_none()));
    // Half of the fronts do not tell what they see: too few for a loss, and none is declared by the rest.
    country.servers_of(2).for_each(|server| country.servers.stop(server));
    country.see(0..1, 2, |site| site.state == SiteState::Doubtful);
    assert_eq!(country.site(2, 2).unwrap().stage, Stage::Up);
}

/// One fault, or one remedy, of a random run.
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
        let server = rng.random_range(0..EACH * SITES.len());
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

    fn happen(self, country: &mut Country) {
        match self {
            Fault::Kill(front) => country.fleet.kill(front),
            Fault::Start(front) => country.fleet.start(front).unwrap(),
            Fault::Stop(front) => country.fleet.hold(front, true).unwrap(),
            Fault::Continue(front) => country.fleet.hold(front, false).unwrap(),
            Fault::CutOff(site) => country.cut_off(site),
            Fault::Heal => country.heal(),
            Fault::StopServer(server) => country.servers.stop(server),
            Fault::StartServer(server) => country.servers.start_again(server).unwrap(),
            // A front that is down or stopped answers nothing; one that is cut off may refuse.
            Fault::Order(front, site, order) if country.fleet.is_up(front) => {
                country.order(front, SITES[site], order, 60.0);
            }
            Fault::Order(..) => {}
        }
    }
}

/// Faults drawn by seed, then every remedy: all fronts see all sites up again.
fn random_faults_end_with_all_sites_up(seed: u64) {
    const STEPS: usize = 24;
    const APART: Duration = Duration::from_millis(300);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut country = Country::settled();
    let mut servers_down = std::collections::BTreeSet::new();
    for _ in 0..STEPS {
        let fault = Fault::draw(&mut rng);
        match fault {
            Fault::StopServer(server) if !servers_down.insert(server) => continue,
            Fault::StartServer(server) if !servers_down.remove(&server) => continue,
            _ => {}
        }
        eprintln!("seed {seed}: {fault:?}");
        fault.happen(&mut country);
        std::thread::sleep(APART);
    }
    country.heal();
    servers_down.into_iter().for_each(|server| country.servers.start_again(server).unwrap());
    for front in 0..FRONTS {
        country.fleet.hold(front, false).unwrap();
        country.fleet.start(front).unwrap();
    }
    until("all hear each other", || {
        (0..FRONTS).all(|f| country.fleet.standing(f).unwrap().peers.iter().all(|p| p.state == "alive"))
    });
    for site in SITES {
        until("the order is taken", || {
            matches!(country.order(0, site, Order::Return, 60.0), Reply::Done { .. })
        });
    }
    country.all(0..FRONTS, |site| site.state == SiteState::Up && !site.excluded_here);
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
