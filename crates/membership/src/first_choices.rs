//! First choices of trunk groups from DNS priorities and weights (RFC 2782).
//!
//! A route has a first choice and a set of allowed pools; priority and weight only determine the first
//! choice. The servers in service with the lowest priority value share the trunk groups by weight, with the
//! largest remainder (Hamilton) method, in the settings' order of groups and by address among servers.
//! Nothing is random, so every front assigns alike, also after a restart. Servers with a higher priority
//! value are no group's first choice while one with a lower value is in service; they stay allowed as the
//! randomly drawn pair.

use crate::{Member, ServiceStatus};

/// The pools that are the first choices of `groups` trunk groups without one in the settings, in the groups'
/// order. Empty while DNS names no server in service.
pub fn first_choices<'a>(members: impl Iterator<Item = &'a Member>, groups: usize) -> Vec<u16> {
    let rank_and_pool = |member: &Member| {
        member.rank().filter(|_| member.status() == ServiceStatus::In).map(|rank| (rank, member.pool()))
    };
    let ranked: Vec<((u16, u16), u16)> = members.filter_map(rank_and_pool).collect();
    let Some(best) = ranked.iter().map(|((priority, _), _)| *priority).min() else { return Vec::new() };
    let weights: Vec<(u16, f64)> = ranked
        .iter()
        .filter(|((priority, _), _)| *priority == best)
        .map(|((_, weight), pool)| (*pool, f64::from(*weight)))
        .collect();
    let total: f64 = weights.iter().map(|(_, weight)| weight).sum();
    // RFC 2782: where all weights are 0 there is no selection by weight; all servers get equal shares.
    let equal_share = 1.0 / weights.len() as f64;
    let quotas: Vec<f64> = weights
        .iter()
        .map(|(_, weight)| groups as f64 * if total > 0.0 { weight / total } else { equal_share })
        .collect();
    let mut counts: Vec<usize> = quotas.iter().map(|quota| quota.floor() as usize).collect();
    let mut by_remainder: Vec<usize> = (0..quotas.len()).collect();
    by_remainder
        .sort_by(|a, b| (quotas[*b] - quotas[*b].floor()).total_cmp(&(quotas[*a] - quotas[*a].floor())));
    let unassigned = groups.saturating_sub(counts.iter().sum());
    for index in by_remainder.into_iter().cycle().take(unassigned) {
        counts[index] += 1;
    }
    weights.iter().zip(counts).flat_map(|((pool, _), count)| std::iter::repeat_n(*pool, count)).collect()
}
