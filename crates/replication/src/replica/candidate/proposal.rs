//! Computes the view that a candidate proposes once it has the newest state.

use super::campaign::{Campaign, Plan, Promised};
use crate::replica::io::Settings;
use crate::types::{Member, View, Viewstamp};
use std::cmp::Reverse;

/// Returns the view that the candidate `own` proposes on top of the state `base`; `None` if no chain of the minimum
/// length with `own` at its head is possible.
pub(super) fn next_view(
    campaign: &Campaign,
    own: Member,
    base: Viewstamp,
    settings: &Settings,
) -> Option<View> {
    let known = campaign.known();
    // Voters change only on top of an established view.
    let fits = |plan: &&Plan| known.is_established() || plan.voters == known.voters;
    let plan = campaign.plan().filter(fits);
    let voters = plan.map_or(&known.voters, |plan| &plan.voters);
    let chain_min = settings.chain_min(voters.len());
    let chain = match plan {
        Some(plan) => planned_chain(plan, campaign),
        None => elected_chain(own, voters, campaign, base, chain_min),
    };
    let leads = chain.first() == Some(&own) && voters.contains(&own);
    (chain.len() >= chain_min && leads).then(|| View {
        number: campaign.view_number(),
        voters: voters.clone(),
        previous_voters: known.previous_voters.clone(),
        chain,
        base,
    })
}

/// Returns the chain that a head has planned, without the voters that have not promised.
fn planned_chain(plan: &Plan, campaign: &Campaign) -> Vec<Member> {
    let may_join = |member: &Member| {
        campaign.promises().contains_key(member) || !campaign.known().voters.contains(member)
    };
    plan.chain.iter().copied().filter(may_join).collect()
}

/// Returns a chain of the candidate followed by voters that have promised: those that are up to date and not draining,
/// and others only as far as the chain would be too short without them.
fn elected_chain(
    own: Member,
    voters: &[Member],
    campaign: &Campaign,
    base: Viewstamp,
    chain_min: usize,
) -> Vec<Member> {
    let mut others: Vec<(Member, Promised)> = campaign
        .promises()
        .iter()
        .filter(|(member, _)| **member != own && voters.contains(member))
        .map(|(&member, &promised)| (member, promised))
        .collect();
    others.sort_by_key(|&(member, promised)| {
        (promised.draining, Reverse(promised.viewstamp), member)
    });
    let mut chain = vec![own];
    for (member, promised) in others {
        let is_fit = promised.viewstamp.view == base.view && !promised.draining;
        if is_fit || chain.len() < chain_min {
            chain.push(member);
        }
    }
    chain
}
