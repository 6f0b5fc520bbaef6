//! Objects that jobs need and workers cache: tables, a model, a customer's data. A worker keeps a few of them, evicts the
//! least recently used, and fetches what it lacks from one store for all, while the job holds its slots.
//!
//! The store serves some fetches at once at full speed. A fetch that begins while more are in flight takes longer in
//! proportion; how long is fixed as it begins.

use crate::scenario::Micros;
use std::sync::{Arc, Mutex, PoisonError};

/// The store of all workers.
#[derive(Debug)]
pub struct ObjectStore {
    /// Fetches at once at full speed.
    concurrency: f64,
    /// When each fetch in flight ends.
    in_flight: Vec<Micros>,
    fetches: u64,
}

impl ObjectStore {
    /// A store that serves `concurrency` fetches at once at full speed.
    pub fn new(concurrency: f64) -> Self {
        ObjectStore {
            concurrency: concurrency.max(0.01),
            in_flight: Vec::new(),
            fetches: 0,
        }
    }

    /// Begins a fetch that takes `alone` microseconds by itself, and returns how long it takes now.
    pub fn begin_fetch(&mut self, now: Micros, alone: Micros) -> Micros {
        self.in_flight.retain(|ends| *ends > now);
        let slowdown = ((self.in_flight.len() + 1) as f64 / self.concurrency).max(1.0);
        let takes = (alone as f64 * slowdown) as Micros;
        self.in_flight.push(now + takes);
        self.fetches += 1;
        takes
    }

    /// Fetches so far.
    pub fn fetches(&self) -> u64 {
        self.fetches
    }
}

/// An object in a cache.
#[derive(Clone, Copy, Debug)]
struct CachedObject {
    id: u64,
    /// When its fetch ends.
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
    /// An empty cache for `capacity` objects.
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

    /// Uses an object, and returns the microseconds until it is available. A fetch takes `alone` by itself.
    pub fn access(&mut self, now: Micros, id: u64, alone: Micros) -> Micros {
        let position = self.objects.iter().position(|object| object.id == id);
        let object = match position {
            Some(position) => self.objects.remove(position),
            None => self.fetch(now, id, alone),
        };
        self.objects.push(object);
        object.available_at.saturating_sub(now)
    }

    /// Fetches an object, and evicts another where the cache is full.
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

    /// A new process has an empty cache.
    pub fn clear(&mut self) {
        self.objects.clear();
    }
}
