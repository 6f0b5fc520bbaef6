//! How well retries are folded: traffic is made whose truth is known, and what tells a retry is taken away step by step.

use crate::load::Made;
use crate::scenario::{Effect, Scenario};
use crate::virt::{Ground, Retries};
use indigofold_traffic::Tally;
use indigofold_traffic::fold::{Folder, Rules};
use indigofold_traffic::job::{Job, Micros, number};
use indigofold_traffic::order::{Sorter, Spread, Attempt};
use rustc_hash::FxHashMap;
use serde::Serialize;

/// What came of one way to know retries.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// What the records hold.
    pub by: String,
    /// Retries that there were.
    pub retries: u64,
    /// Records that were folded.
    pub folded: u64,
    /// Share of folded records that were put with a try of the same job.
    pub precision: f64,
    /// Share of retries that were put with a try of the same job.
    pub recall: f64,
}

/// What a record holds: key, mark, and how exactly its time is known.
const WAYS: [(&str, bool, bool, Micros); 5] = [
    ("key and mark, 1 ms", true, true, 1_000),
    ("mark alone, 1 ms", false, true, 1_000),
    ("mark alone, 1 s", false, true, 1_000_000),
    ("neither, 1 ms", false, false, 1_000),
    ("neither, 1 s", false, false, 1_000_000),
];

/// Checks a scenario's traffic over seeds.
///
/// # Errors
/// The scenario cannot be played.
pub fn check(scenario: &Scenario, seeds: u64) -> Result<Vec<Row>, String> {
    let mut sums = [[0u64; 3]; WAYS.len()]; // retries, folded, right
    for seed in 1..=seeds {
        let mut tries: Vec<(Attempt, u64)> = Vec::new();
        let names: Vec<_> = scenario
            .classes
            .iter()
            .map(|c| (c.name.as_str().into(), c.effect))
            .collect();
        let parishes: Vec<_> = scenario
            .parishes
            .iter()
            .map(|p| p.name.as_str().into())
            .collect();
        let ground = Ground::new(scenario, seed, Retries::Model)?;
        ground.play(
            Made::new(scenario, seed)?,
            |t| {
                let a = t.arrival;
                let (class, effect): &(std::sync::Arc<str>, Effect) = &names[a.class as usize];
                let parish: Option<&std::sync::Arc<str>> = a.parish.map(|p| &parishes[p as usize]);
                let job = Job {
                    at: t.from as Micros,
                    class: class.clone(),
                    parish: parish.cloned().unwrap_or_else(|| "".into()),
                    subject: a.subject.clone(),
                    key: matches!(effect, Effect::Keyed(_)).then(|| format!("k{}", a.number)),
                    deadline: Some((a.at + a.deadline).saturating_sub(t.from) as Micros),
                    bytes: 0,
                    slots: None,
                    client: number(&crate::export::address(a.parish.unwrap_or(200), a.office)),
                    status: t.status.unwrap_or(0),
                    took: Some((t.to - t.from) as Micros),
                    retries: Vec::new(),
                };
                let seq = tries.len() as u64;
                tries.push((
                    Attempt {
                        job,
                        resolution: 1,
                        seq,
                        id: 0,
                        marked: t.tried > 0,
                        file: t.scheduler,
                    },
                    a.number,
                ));
            },
            |_| {},
        )?;
        for (way, sum) in WAYS.iter().zip(&mut sums) {
            let found = fold(scenario, &tries, way, seed).map_err(|e| e.to_string())?;
            sum.iter_mut().zip(found).for_each(|(s, f)| *s += f);
        }
    }
    let row = |(way, [retries, folded, right]): (&(&str, bool, bool, Micros), [u64; 3])| Row {
        by: way.0.to_string(),
        retries,
        folded,
        precision: right as f64 / folded.max(1) as f64,
        recall: right as f64 / retries.max(1) as f64,
    };
    Ok(WAYS.iter().zip(sums).map(row).collect())
}

fn fold(
    scenario: &Scenario,
    tries: &[(Attempt, u64)],
    (_, key, mark, within): &(&str, bool, bool, Micros),
    seed: u64,
) -> std::io::Result<[u64; 3]> {
    let mut sorter = Sorter::default();
    for (t, _) in tries {
        let mut t = t.clone();
        if !key {
            t.job.key = None;
        }
        t.marked &= mark;
        t.job.at = t.job.at / within * within;
        t.resolution = *within;
        sorter.push(t)?;
    }
    // Which record a try in a folded job was is known by its time after spreading.
    let (mut truth, mut folded): (FxHashMap<Micros, u64>, Vec<Job>) = Default::default();
    let rules = Rules {
        guess_within: (scenario.clients.max_retry_after_ms as Micros + 300) * 1000,
        max_attempts: scenario.clients.retries + 1,
        id_kept: false,
        marks: *mark,
    };
    let (mut folder, mut tally) = (Folder::new(rules), Tally::default());
    for t in Spread::new(sorter.finish()?, seed) {
        let t = t?;
        truth.insert(t.job.at, tries[t.seq as usize].1);
        folder.push(t, &mut tally, |job| folded.push(job));
    }
    folder.finish(|job| folded.push(job));
    let retries = tries.iter().filter(|(t, _)| t.marked).count() as u64;
    let mut right = 0;
    for job in &folded {
        let of = truth.get(&job.at);
        right += job.retries.iter().filter(|a| truth.get(&a.at) == of).count() as u64;
    }
    Ok([retries, tally.folded, right])
}
