//! First choices of trunk groups from DNS's priorities and weights (RFC 2782).
//!
//! The design's route asks for a first choice and for pools that are allowed; priority and weight only name
//! the first. Of the servers in service those of the lowest priority share the trunk groups by weight, by
//! largest remainders (Hamilton's method), in the settings' order of groups and by address among servers: no chance, so that every
//! front and every restart deals alike. Servers of higher priority are no group's first choice while one of
//! a lower is in service; they stay allowed as the drawn pair.

use crate::{Member, ServiceStatus};

/// The pools that are the first choices of `groups` trunk groups that name none themselves, in their order;
/// empty while DNS names nobody in service.
pub fn first_choices<'a>(members: impl Iterator<Item = &'a Member>, groups: usize) -> Vec<u16> {
    let named = |m: &Member| m.rank().filter(|_| m.status() == ServiceStatus::In).map(|r| (r, m.pool()));
    let named: Vec<((u16, u16), u16)> = members.filter_map(named).collect();
    let Some(best) = named.iter().map(|n| n.0 .0).min() else { return Vec::new() };
    let shares: Vec<(u16, f64)> =
        named.iter().filter(|n| n.0 .0 == best).map(|n| (n.1, f64::from(n.0 .1))).collect();
    let all: f64 = shares.iter().map(|s| s.1).sum();
    // RFC 2782: where all weights are 0 there is no choosing by weight; all alike then.
    let even = 1.0 / shares.len() as f64;
    let quotas: Vec<f64> =
        shares.iter().map(|s| groups as f64 * if all > 0.0 { s.1 / all } else { even }).collect();
    let mut seats: Vec<usize> = quotas.iter().map(|q| q.floor() as usize).collect();
    let mut order: Vec<usize> = (0..quotas.len()).collect();
    order.sort_by(|a, b| (quotas[*b] - quotas[*b].floor()).total_cmp(&(quotas[*a] - quotas[*a].floor())));
    let missing = groups.saturating_sub(seats.iter().sum());
    for place in order.into_iter().cycle().take(missing) {
        seats[place] += 1;
    }
    shares.iter().zip(seats).flat_map(|(share, count)| std::iter::repeat_n(share.0, count)).collect()
}
