//! Computes the view that a candidate proposes once it has the newest state.

use super::campaign::{Campaign, Plan, PromiseReport};
use crate::replica::io::Settings;
use crate::types::{Member, View, Viewstamp};
use std::cmp::Reverse;

/// Returns the view that the candidate `own_member` proposes on top of the state `base`; `None` if no chain of the
/// minimum length with `own_member` at its head is possible.
pub(super) fn next_view(
    campaign: &Campaign,
    own_member: Member,
    base: Viewstamp,
    settings: &Settings,
) -> Option<View> {
    let known_view = campaign.known_view();
    // Voters change only on top of an established view.
    let is_applicable =
        |plan: &&Plan| known_view.is_established() || plan.voters == known_view.voters;
    let plan = campaign.plan().filter(is_applicable);
    let voters = plan.map_or(&known_view.voters, |plan| &plan.voters);
    let chain_min = settings.chain_min(voters.len());
    let chain = match plan {
        Some(plan) => planned_chain(plan, campaign),
        None => elected_chain(own_member, voters, campaign, base, chain_min),
    };
    let is_head = chain.first() == Some(&own_member) && voters.contains(&own_member);
    (chain.len() >= chain_min && is_head).then(|| View {
        number: campaign.view_number(),
        voters: voters.clone(),
        previous_voters: known_view.previous_voters.clone(),
        chain,
        base,
    })
}

/// Returns the chain that a head has planned, without the voters that have not promised.
fn planned_chain(plan: &Plan, campaign: &Campaign) -> Vec<Member> {
    let may_join = |member: &Member| {
        campaign.promises().contains_key(member) || !campaign.known_view().voters.contains(member)
    };
    plan.chain.iter().copied().filter(may_join).collect()
}

/// Returns a chain of the candidate followed by voters that have promised: those that are up to date and not draining,
/// and others only as far as the chain would be too short without them.
fn elected_chain(
    own_member: Member,
    voters: &[Member],
    campaign: &Campaign,
    base: Viewstamp,
    chain_min: usize,
) -> Vec<Member> {
    let mut others: Vec<(Member, PromiseReport)> = campaign
        .promises()
        .iter()
        .filter(|(member, _)| **member != own_member && voters.contains(member))
        .map(|(&member, &report)| (member, report))
        .collect();
    others.sort_by_key(|&(member, report)| (report.draining, Reverse(report.viewstamp), member));
    let mut chain = vec![own_member];
    for (member, report) in others {
        let is_fit = report.viewstamp.view == base.view && !report.draining;
        if is_fit || chain.len() < chain_min {
            chain.push(member);
        }
    }
    chain
}
