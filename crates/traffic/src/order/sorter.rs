//! External sorting by replacement selection (Knuth, volume 3, 5.4.1): a heap of fixed size writes sorted runs to disk.
//! A log is nearly sorted and results in one run; a HAR document sorted by page results in several, which are merged.

use super::run_file::{RunReader, RunWriter};
use super::{Attempt, HeapEntry, SortKey};
use crate::job::Micros;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::io;

/// Default number of attempts held in memory while sorting.
const DEFAULT_CAPACITY: usize = 32_768;
/// Maximum number of runs before they are merged into one; bounds the number of open files.
const MAX_MERGED_RUNS: usize = 64;

/// Sorts attempts by time, in bounded memory.
pub struct Sorter {
    heap: BinaryHeap<Reverse<HeapEntry>>,
    /// Maximum number of attempts held in memory.
    capacity: usize,
    /// Number of the run that is being written.
    run: u32,
    /// Time of the last attempt written to that run.
    last_written_at: Micros,
    /// The run being written; `None` before the first attempt is spilled.
    out: Option<RunWriter>,
    /// Finished runs.
    runs: Vec<RunReader>,
}

impl Default for Sorter {
    fn default() -> Self {
        Sorter::new(DEFAULT_CAPACITY)
    }
}

impl Sorter {
    /// Creates a sorter that holds up to `capacity` attempts in memory.
    pub fn new(capacity: usize) -> Self {
        Sorter {
            heap: BinaryHeap::new(),
            capacity: capacity.max(1),
            run: 0,
            last_written_at: Micros::MIN,
            out: None,
            runs: Vec::new(),
        }
    }

    /// Adds an attempt; beyond the capacity, the earliest one in memory is written to a run.
    ///
    /// # Errors
    /// A temporary file cannot be written.
    pub fn push(&mut self, attempt: Attempt) -> io::Result<()> {
        // An attempt earlier than the last one written goes to the next run.
        let run = self.run + u32::from(self.out.is_some() && attempt.job.at < self.last_written_at);
        self.heap.push(Reverse(HeapEntry::new(run, attempt)));
        if self.heap.len() > self.capacity
            && let Some(Reverse(entry)) = self.heap.pop()
        {
            self.spill(&entry)?;
        }
        Ok(())
    }

    /// Writes an attempt to its run. If that is not the current run, the current run is ended and the next one started.
    fn spill(&mut self, entry: &HeapEntry) -> io::Result<()> {
        if entry.run != self.run || self.out.is_none() {
            self.end_run()?;
            if self.runs.len() >= MAX_MERGED_RUNS {
                self.merge_runs()?;
            }
            self.run = entry.run;
            self.out = Some(RunWriter::new()?);
        }
        self.last_written_at = entry.key.at;
        match &mut self.out {
            Some(out) => out.write(&entry.attempt),
            None => Ok(()),
        }
    }

    fn end_run(&mut self) -> io::Result<()> {
        if let Some(finished_run) = self.out.take() {
            self.runs.push(finished_run.finish()?);
        }
        Ok(())
    }

    fn merge_runs(&mut self) -> io::Result<()> {
        let mut merged_run = RunWriter::new()?;
        for attempt in Merge::new(std::mem::take(&mut self.runs))? {
            merged_run.write(&*attempt?)?;
        }
        self.runs.push(merged_run.finish()?);
        Ok(())
    }

    /// Returns all attempts in order.
    ///
    /// # Errors
    /// A temporary file cannot be read.
    pub fn finish(mut self) -> io::Result<Sorted> {
        self.end_run()?;
        let mut heap_entries: Vec<HeapEntry> = self.heap.into_iter().map(|r| r.0).collect();
        heap_entries.sort_by_key(|entry| entry.key);
        Ok(Sorted {
            merge: Merge::new(self.runs)?,
            peeked: None,
            in_memory: heap_entries
                .into_iter()
                .map(|entry| entry.attempt)
                .collect(),
        })
    }
}

/// A run that is being merged.
struct MergedRun {
    reader: RunReader,
    /// Its next attempt; `None`: the run has ended.
    head: Option<Box<Attempt>>,
}

/// Merges several sorted runs into one.
struct Merge {
    runs: Vec<MergedRun>,
    /// Sort keys of the runs' next attempts, each with the index of its run.
    heads: BinaryHeap<Reverse<(SortKey, usize)>>,
}

impl Merge {
    fn new(runs: Vec<RunReader>) -> io::Result<Self> {
        let runs: Vec<MergedRun> = runs
            .into_iter()
            .map(|reader| MergedRun { reader, head: None })
            .collect();
        let mut merge = Merge {
            runs,
            heads: BinaryHeap::new(),
        };
        (0..merge.runs.len()).try_for_each(|n| merge.advance(n))?;
        Ok(merge)
    }

    /// Reads the next attempt of run `n`.
    fn advance(&mut self, n: usize) -> io::Result<()> {
        let run = &mut self.runs[n];
        run.head = run.reader.next()?;
        if let Some(attempt) = &run.head {
            self.heads.push(Reverse((attempt.sort_key(), n)));
        }
        Ok(())
    }
}

impl Iterator for Merge {
    type Item = io::Result<Box<Attempt>>;

    fn next(&mut self) -> Option<Self::Item> {
        let Reverse((_, n)) = self.heads.pop()?;
        let head = self.runs[n].head.take()?;
        Some(self.advance(n).map(|()| head))
    }
}

/// Iterator over all attempts in order: merges the runs with the attempts that stayed in memory.
pub struct Sorted {
    merge: Merge,
    /// Next attempt of the merged runs, if it was read already.
    peeked: Option<Box<Attempt>>,
    /// Attempts that were never written to disk, in order.
    in_memory: VecDeque<Box<Attempt>>,
}

impl Iterator for Sorted {
    type Item = io::Result<Attempt>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.peeked.is_none() {
            match self.merge.next() {
                Some(Ok(attempt)) => self.peeked = Some(attempt),
                Some(Err(e)) => return Some(Err(e)),
                None => {}
            }
        }
        let from_runs = match (&self.peeked, self.in_memory.front()) {
            (Some(a), Some(b)) => a.sort_key() <= b.sort_key(),
            (Some(_), None) => true,
            (None, _) => false,
        };
        let next = if from_runs {
            self.peeked.take()
        } else {
            self.in_memory.pop_front()
        };
        next.map(|attempt| Ok(*attempt))
    }
}
