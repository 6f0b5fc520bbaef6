//! `compare-copies`: rows that differ between the disks of core members.

mod compare;
mod copy;

pub use compare::{Comparison, Difference, common_seq, compare};
pub use copy::{Copy, CopyError};

use crate::report::{Report, table};
use serde::Serialize;
use std::path::PathBuf;

/// So many differences of a pair are told in words; JSON has all of them.
const DIFFERENCES_SHOWN: usize = 20;

#[derive(Serialize)]
struct Figures<'a> {
    copies: &'a [Copy],
    pairs: &'a [Comparison],
}

/// Opens the copies and compares each with the first.
pub fn run(folders: &[PathBuf]) -> Result<Report, CopyError> {
    let copies: Vec<Copy> = folders
        .iter()
        .map(|folder| Copy::open(folder))
        .collect::<Result<_, _>>()?;
    let (first, others) = match copies.split_first() {
        Some(split) => split,
        None => return Ok(Report::default()),
    };
    let pairs: Vec<Comparison> = others.iter().map(|other| compare(first, other)).collect();
    let findings = pairs.iter().flat_map(Comparison::findings).collect();
    let mut text = copies_text(&copies);
    pairs
        .iter()
        .for_each(|pair| text.push_str(&pair_text(pair)));
    Ok(Report::new(
        text,
        &Figures {
            copies: &copies,
            pairs: &pairs,
        },
        findings,
    ))
}

fn copies_text(copies: &[Copy]) -> String {
    let head = ["folder", "member", "view", "stored", "rows", "deleted"];
    let mut rows = vec![head.map(str::to_owned).to_vec()];
    rows.extend(copies.iter().map(|copy| {
        let deleted = copy.rows.values().filter(|row| row.value.is_none()).count();
        vec![
            copy.folder.display().to_string(),
            copy.member
                .map_or("-".to_owned(), |member| member.to_string()),
            copy.view.map_or("-".to_owned(), |view| view.to_string()),
            format!("{}/{}", copy.stored_view, copy.stored_seq),
            (copy.rows.len() - deleted).to_string(),
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
