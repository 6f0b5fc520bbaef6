//! `compare-copies`: finds rows that differ between the replicas on core members' disks.

mod compare;
mod history;
mod replica;

pub use compare::{Comparison, Difference, compare};
pub use history::{WriteHistory, common_seq};
pub use replica::{Replica, ReplicaError};

use crate::report::Report;
use crate::table::Table;
use indigofold_replication::Row;
use serde::Serialize;
use std::path::PathBuf;

/// Maximum number of differences of a pair that the text lists. The JSON has all of them.
const DIFFERENCES_SHOWN_MAX: usize = 20;

/// The JSON form of the report.
#[derive(Serialize)]
struct ReplicaComparison<'a> {
    #[serde(rename = "copies")]
    replicas: &'a [Replica],
    pairs: &'a [Comparison],
}

/// Opens the replicas in these folders and compares each of the others with the first.
///
/// # Errors
///
/// [`ReplicaError`] for the first folder whose database cannot be opened.
pub fn run(folders: &[PathBuf]) -> Result<Report, ReplicaError> {
    let replicas: Vec<Replica> = folders
        .iter()
        .map(|folder| Replica::open(folder))
        .collect::<Result<_, _>>()?;
    let Some((first, others)) = replicas.split_first() else {
        return Ok(Report::default());
    };
    let pairs: Vec<Comparison> = others.iter().map(|other| compare(first, other)).collect();
    let findings = pairs.iter().flat_map(Comparison::findings).collect();
    let mut text = replicas_text(&replicas);
    for pair in &pairs {
        text.push_str(&pair_text(pair));
    }
    let data = ReplicaComparison {
        replicas: &replicas,
        pairs: &pairs,
    };
    Ok(Report::new(text, &data, findings))
}

fn replicas_text(replicas: &[Replica]) -> String {
    let mut table = Table::new(["folder", "member", "view", "stored", "rows", "deleted"]);
    let unknown = || "-".to_owned();
    for replica in replicas {
        let is_deleted = |row: &&Row| row.value.is_none();
        let deleted = replica.rows.values().filter(is_deleted).count();
        table.push([
            replica.folder.display().to_string(),
            replica
                .member
                .map_or_else(unknown, |member| member.to_string()),
            replica.view.map_or_else(unknown, |view| view.to_string()),
            format!("{}/{}", replica.stored_view, replica.stored_seq),
            (replica.rows.len() - deleted).to_string(),
            deleted.to_string(),
        ]);
    }
    table.to_string()
}

fn pair_text(pair: &Comparison) -> String {
    let (left, right) = (pair.left.display(), pair.right.display());
    let mut text = format!(
        "\n{left} and {right}: the same writes up to {}, {} rows differ\n",
        pair.common_seq,
        pair.differences.len()
    );
    for difference in pair.differences.iter().take(DIFFERENCES_SHOWN_MAX) {
        text.push_str(&format!("  {}\n", difference.sentence()));
    }
    if pair.differences.len() > DIFFERENCES_SHOWN_MAX {
        text.push_str(&format!(
            "  and {} more\n",
            pair.differences.len() - DIFFERENCES_SHOWN_MAX
        ));
    }
    text
}
