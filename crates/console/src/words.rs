//! Answers as operators read them.

use crate::{FrontStatus, LevelState, MemberState, Members, Reply};
use shalespindle_peer_service::{FleetStatus, PersistenceState};
use shalespindle_sites::{SitesStatus, Stage};
use std::fmt;

impl fmt::Display for Reply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reply::Status(snapshot) => snapshot.fmt(f),
            Reply::Members(members) => members.fmt(f),
            Reply::Fleet(standing) => fleet(standing, f),
            Reply::Done { what } => f.write_str(what),
            Reply::Bad { why } => write!(f, "not done: {why}"),
        }
    }
}

impl fmt::Display for FrontStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = if self.shutting_down { "ending" } else { "in service" };
        writeln!(f, "front {}: {state} for {:.0} s", self.front, self.seconds_in_service)?;
        match &self.level {
            Some(level) => level.fmt(f)?,
            None => writeln!(f, "levels of reduced service are off")?,
        }
        writeln!(
            f,
            "attaches: {} in hand, {} standing; held {} and {} legs",
            self.pending, self.established, self.attaches_held, self.legs_held
        )?;
        writeln!(
            f,
            "late by p50 {:.2} ms, p99 {:.2} ms; {} datagrams dropped",
            self.lag_p50_ms, self.lag_p99_ms, self.datagrams_dropped
        )?;
        // Every counter under its own name, whatever there will be.
        let counters = serde_json::to_value(self.counters).map_err(|_| fmt::Error)?;
        for (name, count) in counters.as_object().into_iter().flatten() {
            writeln!(f, "  {name:20} {count}")?;
        }
        Ok(())
    }
}

fn fleet(s: &FleetStatus, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    let state = match (s.silenced, s.isolated, s.caught_up) {
        (true, ..) => "silenced: another process holds this name",
        (_, true, _) => "alone: no other front is heard",
        (.., false) => "catching up",
        (.., true) => "caught up",
    };
    writeln!(
        f,
        "{}: {state}; life {}-{:x}, {} facts told",
        s.name, s.incarnation.0, s.incarnation.1, s.own_facts
    )?;
    for p in &s.peers {
        writeln!(
            f,
            "  {:20} {:8} quiet for {:.1} s; {} facts, {} behind",
            p.name, p.state, p.quiet_for, p.facts, p.behind
        )?;
    }
    if let Some(sites) = &s.sites {
        sites_in_words(sites, f)?;
    }
    match &s.persistence {
        PersistenceState::Off => writeln!(f, "nothing is kept on disk")?,
        PersistenceState::Good => writeln!(f, "what is known here is kept on disk")?,
        PersistenceState::Failing(why) => writeln!(f, "nothing is kept on disk now: {why}")?,
    }
    writeln!(
        f,
        "{} servers differ now, copies that differ met {} times",
        s.conflicts.len(),
        s.conflict_count
    )?;
    for (name, count) in &s.counts {
        writeln!(f, "  {name:26} {count}")?;
    }
    Ok(())
}

fn sites_in_words(s: &SitesStatus, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    let cut_off = if s.cut_off { "; cut off: this front hears no more than half of the fleet" } else { "" };
    writeln!(f, "sites, by the sights of {} of {} fronts{cut_off}", s.observations, s.fleet)?;
    for site in &s.sites {
        let step = match site.stage {
            Stage::Returning { step } => format!(", step {step}"),
            _ => String::new(),
        };
        let held = site.held_for.map_or(String::new(), |left| format!(", held for {left:.0} s"));
        let out = if site.excluded_here { "; left alone here" } else { "" };
        writeln!(
            f,
            "  {:20} {}{step} (epoch {}, {:.1} s{held}); fronts {} of {}; of {} outside {} reach it, {} miss it{out}",
            site.name,
            site.state.name(),
            site.epoch,
            site.stage_age,
            site.fronts_alive,
            site.fronts,
            site.outside,
            site.reached,
            site.missed
        )?;
        let bears = |b: Option<f64>| b.map_or("not known yet".into(), |b| format!("{b:.1} a second"));
        writeln!(
            f,
            "  {:20} stands {:.1} a second of {}; were it lost: {:.1} a second needed, the others bear {}",
            "",
            site.established,
            bears(site.capacity),
            site.required_if_lost,
            bears(site.capacity_if_lost)
        )?;
    }
    if !s.shares.is_empty() {
        let shares: Vec<String> = s.shares.iter().map(|s| format!("{:.2}", s)).collect();
        writeln!(f, "  taken of what is asked, by procedure: {}", shares.join(", "))?;
    }
    if s.other_tables + s.invalid_messages > 0 {
        writeln!(
            f,
            "  {} messages of other tables of sites, {} of bad form",
            s.other_tables, s.invalid_messages
        )?;
    }
    Ok(())
}

/// Copies that differ, a line each, as `fleet diff` prints them.
pub fn differences(s: &FleetStatus) -> String {
    let mut text = String::new();
    for d in &s.conflicts {
        let words: Vec<String> = d.reports.iter().map(|(front, told)| format!("{front} {told}")).collect();
        let (address, incarnation, settled) = (d.address, d.incarnation, &d.resolved);
        text += &format!(
            "{address} start {incarnation}: {}; counts as {settled}, for {:.0} s\n",
            words.join(", "),
            d.duration_s
        );
    }
    text
}

impl fmt::Display for LevelState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "level {} of {} for {:.1} s: {}", self.level, self.max_level, self.seconds, self.reason)?;
        writeln!(f, "  takes {}", self.admits)?;
        match self.pressure {
            Some(pressure) => write!(f, "  pressure now {pressure:.3}")?,
            None => write!(f, "  too little to judge by now")?,
        }
        writeln!(f, "; taken {}, refused {}, changes {}", self.admitted, self.refused, self.changes)?;
        if let Some(left) = self.pinned_for {
            writeln!(f, "  pinned for another {left:.0} s")?;
        }
        Ok(())
    }
}

impl fmt::Display for Members {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.feed_lost_for {
            Some(seconds) => writeln!(f, "pool list: away for {seconds:.0} s")?,
            None => writeln!(f, "pool list: there")?,
        }
        for name in &self.names {
            let last = name.last.as_deref().unwrap_or("not looked up yet");
            write!(f, "{}: {last}", name.name)?;
            if let Some(age) = name.age {
                write!(f, ", {age:.0} s ago")?;
            }
            match name.next_in {
                Some(next) => writeln!(f, "; again in {next:.0} s")?,
                None => writeln!(f, "; under way")?,
            }
        }
        for member in &self.members {
            member.fmt(f)?;
        }
        if self.over_capacity > 0 {
            writeln!(f, "{} servers not taken up for want of room", self.over_capacity)?;
        }
        Ok(())
    }
}

impl fmt::Display for MemberState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let warned = if self.needs_attention { ", warned" } else { "" };
        write!(
            f,
            "{} pool {}: {} for {:.0} s{warned}; list {}",
            self.address, self.pool, self.status, self.seconds, self.list
        )?;
        if let Some(age) = self.list_age {
            write!(f, " ({age:.0} s)")?;
        }
        write!(f, "; DNS {}", self.dns)?;
        if let (Some(age), Some(left)) = (self.dns_age, self.dns_left) {
            write!(f, " ({age:.0} s, {left:.0} s left)")?;
        }
        if let Some((priority, weight)) = self.rank {
            write!(f, " priority {priority} weight {weight}")?;
        }
        writeln!(f, "; {}", self.reason)
    }
}
