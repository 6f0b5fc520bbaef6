//! Tries in the order in which they were made, whatever order they were logged in, in bounded memory; and those whose
//! time is known to the second only spread inside it.
//!
//! Sorting is replacement selection (Knuth, volume 3, 5.4.1): a heap of fixed size that writes runs. A log is nearly in
//! order, so it makes one run; a HAR sorted by page makes some, which are merged.

use crate::job::{Job, Micros};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::fs::File;
use std::io::{self, BufReader, BufWriter, Read, Seek, Write};

/// Tries held in memory while sorting.
const DEFAULT_CAPACITY: usize = 32_768;
/// Runs that are merged at once.
const MAX_MERGED_RUNS: usize = 64;
/// Where a run is written in one go.
const BUFFER: usize = 64 * 1024;

/// One request of a client: a first try or a retry, nobody knows yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    /// As if it were a first try.
    pub job: Job,
    /// How exactly its time is known.
    pub within: Micros,
    /// Its place in what was read.
    pub seq: u64,
    /// Its request id as a number; 0: none.
    pub id: u64,
    /// The client marked it as a retry.
    pub marked: bool,
    /// The file that it stood in.
    pub file: u32,
}

/// By run, time and place; the try itself does not count.
struct HeapEntry(u32, Micros, u64, Box<Attempt>);

impl HeapEntry {
    fn key(&self) -> (u32, Micros, u64) {
        (self.0, self.1, self.2)
    }
}

impl PartialEq for HeapEntry {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for HeapEntry {}

impl PartialOrd for HeapEntry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for HeapEntry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key().cmp(&other.key())
    }
}

/// A run on disk, in a file without a name that goes with its handle.
struct Spill {
    out: BufWriter<File>,
    bytes: Vec<u8>,
}

impl Spill {
    fn new() -> io::Result<Self> {
        Ok(Spill {
            out: BufWriter::with_capacity(BUFFER, tempfile::tempfile()?),
            bytes: Vec::new(),
        })
    }

    fn write(&mut self, t: &Attempt) -> io::Result<()> {
        self.bytes.clear();
        self.bytes =
            postcard::to_extend(t, std::mem::take(&mut self.bytes)).map_err(io::Error::other)?;
        self.out
            .write_all(&(self.bytes.len() as u32).to_le_bytes())?;
        self.out.write_all(&self.bytes)
    }

    fn read(self) -> io::Result<Run> {
        let mut file = self
            .out
            .into_inner()
            .map_err(io::IntoInnerError::into_error)?;
        file.rewind()?;
        Ok(Run {
            from: BufReader::with_capacity(BUFFER, file),
            bytes: Vec::new(),
        })
    }
}

struct Run {
    from: BufReader<File>,
    bytes: Vec<u8>,
}

impl Run {
    fn next(&mut self) -> io::Result<Option<Box<Attempt>>> {
        let mut length = [0; 4];
        match self.from.read_exact(&mut length) {
            Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
            other => other?,
        }
        self.bytes.resize(u32::from_le_bytes(length) as usize, 0);
        self.from.read_exact(&mut self.bytes)?;
        postcard::from_bytes(&self.bytes)
            .map(|t| Some(Box::new(t)))
            .map_err(io::Error::other)
    }
}

/// Sorts tries by time.
pub struct Sorter {
    heap: BinaryHeap<Reverse<HeapEntry>>,
    capacity: usize,
    run: u32,
    last: Micros,
    out: Option<Spill>,
    runs: Vec<Run>,
}

impl Default for Sorter {
    fn default() -> Self {
        Sorter::new(DEFAULT_CAPACITY)
    }
}

impl Sorter {
    /// One that holds so many tries in memory.
    pub fn new(capacity: usize) -> Self {
        let heap = BinaryHeap::new();
        Sorter {
            heap,
            capacity: capacity.max(1),
            run: 0,
            last: Micros::MIN,
            out: None,
            runs: Vec::new(),
        }
    }

    /// Takes a try.
    ///
    /// # Errors
    /// A temporary file cannot be written.
    pub fn push(&mut self, t: Attempt) -> io::Result<()> {
        // What is older than what this run has written goes to the next one.
        let run = self.run + u32::from(self.out.is_some() && t.job.at < self.last);
        self.heap
            .push(Reverse(HeapEntry(run, t.job.at, t.seq, Box::new(t))));
        if self.heap.len() > self.capacity
            && let Some(Reverse(HeapEntry(run, at, _, t))) = self.heap.pop()
        {
            self.spill(run, at, &t)?;
        }
        Ok(())
    }

    fn spill(&mut self, run: u32, at: Micros, t: &Attempt) -> io::Result<()> {
        if run != self.run || self.out.is_none() {
            if let Some(done) = self.out.take() {
                self.runs.push(done.read()?);
            }
            if self.runs.len() >= MAX_MERGED_RUNS {
                let mut merged = Spill::new()?;
                for t in Merge::new(std::mem::take(&mut self.runs))? {
                    merged.write(&*t?)?;
                }
                self.runs.push(merged.read()?);
            }
            self.run = run;
            self.out = Some(Spill::new()?);
        }
        self.last = at;
        self.out.as_mut().map_or(Ok(()), |out| out.write(t))
    }

    /// All tries in order.
    ///
    /// # Errors
    /// A temporary file cannot be read.
    pub fn finish(mut self) -> io::Result<Sorted> {
        if let Some(done) = self.out.take() {
            self.runs.push(done.read()?);
        }
        let mut rest: Vec<HeapEntry> = self.heap.into_iter().map(|r| r.0).collect();
        rest.sort_by_key(|k| (k.1, k.2));
        let rest = rest.into_iter().map(|k| k.3).collect();
        Ok(Sorted {
            merge: Merge::new(self.runs)?,
            peeked: None,
            rest,
        })
    }
}

/// Several runs as one.
struct Merge {
    runs: Vec<(Run, Option<Box<Attempt>>)>,
    heads: BinaryHeap<Reverse<(Micros, u64, usize)>>,
}

impl Merge {
    fn new(runs: Vec<Run>) -> io::Result<Self> {
        let count = runs.len();
        let runs = runs.into_iter().map(|run| (run, None)).collect();
        let mut merge = Merge {
            runs,
            heads: BinaryHeap::new(),
        };
        (0..count).try_for_each(|n| merge.advance(n))?;
        Ok(merge)
    }

    /// Brings up a run's next try.
    fn advance(&mut self, n: usize) -> io::Result<()> {
        let (run, head) = &mut self.runs[n];
        *head = run.next()?;
        if let Some(t) = head {
            self.heads.push(Reverse((t.job.at, t.seq, n)));
        }
        Ok(())
    }
}

impl Iterator for Merge {
    type Item = io::Result<Box<Attempt>>;

    fn next(&mut self) -> Option<Self::Item> {
        let Reverse((_, _, n)) = self.heads.pop()?;
        let head = self.runs[n].1.take()?;
        Some(self.advance(n).map(|()| head))
    }
}

/// Tries in order.
pub struct Sorted {
    merge: Merge,
    peeked: Option<Box<Attempt>>,
    rest: VecDeque<Box<Attempt>>,
}

impl Iterator for Sorted {
    type Item = io::Result<Attempt>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.peeked.is_none() {
            match self.merge.next() {
                Some(Ok(t)) => self.peeked = Some(t),
                Some(Err(e)) => return Some(Err(e)),
                None => {}
            }
        }
        let key = |t: &Attempt| (t.job.at, t.seq);
        let from_runs = match (&self.peeked, self.rest.front()) {
            (Some(a), Some(b)) => key(a) <= key(b),
            (Some(_), None) => true,
            (None, _) => false,
        };
        let next = if from_runs {
            self.peeked.take()
        } else {
            self.rest.pop_front()
        };
        next.map(|t| Ok(*t))
    }
}

/// Spreads tries whose time is known only roughly. Those of one and the same stamp are put at uniform draws within its
/// width, in the order in which their file logged them (the order statistics of a Poisson process given its count). The result
/// is in order again.
pub struct Spread<I: Iterator> {
    from: std::iter::Peekable<I>,
    rng: Pcg64Mcg,
    heap: BinaryHeap<Reverse<HeapEntry>>,
    /// Tries that were spread over a second or more.
    pub spread: u64,
}

impl<I: Iterator<Item = io::Result<Attempt>>> Spread<I> {
    /// Draws begin at the seed.
    pub fn new(from: I, seed: u64) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        Spread {
            from: from.peekable(),
            rng,
            heap: BinaryHeap::new(),
            spread: 0,
        }
    }

    /// Takes all tries of the next stamp.
    fn group(&mut self) -> Option<io::Result<()>> {
        let first = match self.from.next()? {
            Ok(t) => t,
            Err(e) => return Some(Err(e)),
        };
        let (at, within) = (first.job.at, first.within.max(1));
        let same = |t: &io::Result<Attempt>| {
            t.as_ref()
                .is_ok_and(|t| t.job.at == at && t.within.max(1) == within)
        };
        let mut group: SmallVec<[Attempt; 1]> = SmallVec::from_buf([first]);
        while let Some(Ok(t)) = self.from.next_if(same) {
            group.push(t);
        }
        if within >= 1_000_000 {
            self.spread += group.len() as u64;
        }
        // The lines of one file tell their order; those of two files tell nothing of each other's.
        group.sort_by_key(|t| t.file);
        for of_file in group.chunk_by_mut(|a, b| a.file == b.file) {
            let mut draws: SmallVec<[Micros; 4]> = SmallVec::new();
            if within > 1 {
                draws.extend(
                    (0..of_file.len()).map(|_| (unit(&mut self.rng) * within as f64) as Micros),
                );
                draws.sort_unstable();
            }
            of_file
                .iter_mut()
                .zip(draws)
                .for_each(|(t, by)| t.job.at += by);
        }
        for t in group {
            self.heap
                .push(Reverse(HeapEntry(0, t.job.at, t.seq, Box::new(t))));
        }
        Some(Ok(()))
    }
}

impl<I: Iterator<Item = io::Result<Attempt>>> Iterator for Spread<I> {
    type Item = io::Result<Attempt>;

    fn next(&mut self) -> Option<Self::Item> {
        loop {
            // What still comes is no earlier than the next stamp.
            let bound = match self.from.peek() {
                Some(Ok(t)) => Some(t.job.at),
                Some(Err(_)) => Some(Micros::MIN),
                None => None,
            };
            let head = self.heap.peek().map(|Reverse(k)| k.1);
            match (head, bound) {
                (Some(at), Some(bound)) if at < bound => break,
                (Some(_), None) => break,
                (None, None) => return None,
                _ => match self.group()? {
                    Ok(()) => {}
                    Err(e) => return Some(Err(e)),
                },
            }
        }
        self.heap.pop().map(|Reverse(k)| Ok(*k.3))
    }
}

/// A uniform draw from 0 to 1.
pub fn unit(rng: &mut Pcg64Mcg) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}
