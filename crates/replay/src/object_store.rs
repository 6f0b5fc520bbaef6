//! Objects that jobs need and workers cache, such as tables, a model or a customer's data. A worker caches a few of them,
//! evicts the least recently used, and fetches missing ones from a store shared by all workers while the job holds its slots.
//!
//! The store serves a limited number of concurrent fetches at full speed. A fetch that starts while more are in flight takes
//! proportionally longer; its duration is fixed when it starts.

use crate::scenario::Micros;
use std::sync::{Arc, Mutex, PoisonError};

/// The store that all workers fetch from.
#[derive(Debug)]
pub struct ObjectStore {
    /// Number of concurrent fetches that are served at full speed.
    concurrency: f64,
    /// End time of each fetch in flight.
    in_flight: Vec<Micros>,
    fetches: u64,
}

impl ObjectStore {
    /// Creates a store that serves `concurrency` concurrent fetches at full speed.
    pub fn new(concurrency: f64) -> Self {
        ObjectStore {
            concurrency: concurrency.max(0.01),
            in_flight: Vec::new(),
            fetches: 0,
        }
    }

    /// Starts a fetch that takes `alone` microseconds at full speed. Returns its duration under the current load.
    pub fn begin_fetch(&mut self, now: Micros, alone: Micros) -> Micros {
        self.in_flight.retain(|ends| *ends > now);
        let slowdown = ((self.in_flight.len() + 1) as f64 / self.concurrency).max(1.0);
        let takes = (alone as f64 * slowdown) as Micros;
        self.in_flight.push(now + takes);
        self.fetches += 1;
        takes
    }

    /// Number of fetches so far.
    pub fn fetches(&self) -> u64 {
        self.fetches
    }
}

/// An object in a worker's cache.
#[derive(Clone, Copy, Debug)]
struct CachedObject {
    id: u64,
    /// When the fetch of the object ends.
    available_at: Micros,
}

/// The cache of one worker.
#[derive(Debug)]
pub struct ObjectCache {
    store: Arc<Mutex<ObjectStore>>,
    capacity: usize,
    /// Least recently used first.
    objects: Vec<CachedObject>,
}

impl ObjectCache {
    /// Creates an empty cache for `capacity` objects, at least one.
    pub fn new(store: Arc<Mutex<ObjectStore>>, capacity: usize) -> Self {
        ObjectCache {
            store,
            capacity: capacity.max(1),
            objects: Vec::new(),
        }
    }

    /// Whether an object is cached, or its fetch is in flight.
    pub fn contains(&self, id: u64) -> bool {
        self.objects.iter().any(|object| object.id == id)
    }

    /// Marks an object as used, and fetches it if it is missing. Returns the microseconds until it is available. `alone` is the
    /// duration of a fetch at full speed, in microseconds.
    pub fn access(&mut self, now: Micros, id: u64, alone: Micros) -> Micros {
        let position = self.objects.iter().position(|object| object.id == id);
        let object = match position {
            Some(position) => self.objects.remove(position),
            None => self.fetch(now, id, alone),
        };
        self.objects.push(object);
        object.available_at.saturating_sub(now)
    }

    /// Starts the fetch of an object, and evicts the least recently used one if the cache is full.
    fn fetch(&mut self, now: Micros, id: u64, alone: Micros) -> CachedObject {
        let mut store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        let takes = store.begin_fetch(now, alone);
        drop(store);
        if self.objects.len() >= self.capacity {
            self.objects.remove(0);
        }
        CachedObject {
            id,
            available_at: now + takes,
        }
    }

    /// Empties the cache, as when the worker's process restarts.
    pub fn clear(&mut self) {
        self.objects.clear();
    }
}
