//! `compare-copies`: rows that differ between the disks of core members.

mod compare;
mod replica;

pub use compare::{Comparison, Difference, common_seq, compare};
pub use replica::{Replica, ReplicaError};

use crate::report::{Report, table};
use serde::Serialize;
use std::path::PathBuf;

/// So many differences of a pair are told in words; JSON has all of them.
const DIFFERENCES_SHOWN: usize = 20;

#[derive(Serialize)]
struct ReplicaComparison<'a> {
    #[serde(rename = "copies")]
    replicas: &'a [Replica],
    pairs: &'a [Comparison],
}

/// Opens the copies and compares each with the first.
pub fn run(folders: &[PathBuf]) -> Result<Report, ReplicaError> {
    let replicas: Vec<Replica> = folders
        .iter()
        .map(|folder| Replica::open(folder))
        .collect::<Result<_, _>>()?;
    let (first, others) = match replicas.split_first() {
        Some(split) => split,
        None => return Ok(Report::default()),
    };
    let pairs: Vec<Comparison> = others.iter().map(|other| compare(first, other)).collect();
    let findings = pairs.iter().flat_map(Comparison::findings).collect();
    let mut text = replicas_text(&replicas);
    pairs
        .iter()
        .for_each(|pair| text.push_str(&pair_text(pair)));
    Ok(Report::new(
        text,
        &ReplicaComparison {
            replicas: &replicas,
            pairs: &pairs,
        },
        findings,
    ))
}

fn replicas_text(replicas: &[Replica]) -> String {
    let head = ["folder", "member", "view", "stored", "rows", "deleted"];
    let mut rows = vec![head.map(str::to_owned).to_vec()];
    rows.extend(replicas.iter().map(|replica| {
        let deleted = replica
            .rows
            .values()
            .filter(|row| row.value.is_none())
            .count();
        vec![
            replica.folder.display().to_string(),
            replica
                .member
                .map_or("-".to_owned(), |member| member.to_string()),
            replica.view.map_or("-".to_owned(), |view| view.to_string()),
            format!("{}/{}", replica.stored_view, replica.stored_seq),
            (replica.rows.len() - deleted).to_string(),
            deleted.to_string(),
        ]
    }));
    table(&rows)
}

fn pair_text(pair: &Comparison) -> String {
    let (left, right) = (pair.left.display(), pair.right.display());
    let mut text = format!(
        "\n{left} and {right}: the same writes up to {}, {} rows differ\n",
        pair.common_seq,
        pair.differences.len()
    );
    for difference in pair.differences.iter().take(DIFFERENCES_SHOWN) {
        text.push_str(&format!("  {}\n", difference.sentence()));
    }
    if pair.differences.len() > DIFFERENCES_SHOWN {
        text.push_str(&format!(
            "  and {} more\n",
            pair.differences.len() - DIFFERENCES_SHOWN
        ));
    }
    text
}
