//! The shape cache: what is known of a shape, found by its whole text. It owns the entries and the count of
//! their bytes. It must never hold more bytes than it was given, and never answer for a text other than the
//! one that it keeps: a hash finds the place, the text decides.

use crate::cost::{CostModel, DurationHistogram, Estimate};
use crate::hash::fnv1a;
use quick_cache::unsync::{Cache, DefaultLifecycle};
use quick_cache::{DefaultHashBuilder, Equivalent, OptionsBuilder, Weighter};
use sillfold_sql::Analysis;
use std::cell::{Cell, RefCell};
use std::hash::{BuildHasher, Hash, Hasher};
use std::rc::Rc;

/// Bytes of an entry beside the shape itself: the cache's own slot and index, and what the allocator adds to
/// three blocks. Measured with `sillfold-lab statements`.
const ENTRY_BYTES: usize = 112;

/// A shape and all that is known of it.
pub struct Shape {
    text: Box<str>,
    /// What running it does, its tables and keys.
    pub analysis: Analysis,
    /// What it took.
    pub durations: RefCell<DurationHistogram>,
    /// The last estimate, and how old the experience was then.
    estimate: Cell<Option<(u64, Estimate)>>,
}

impl Shape {
    /// One of which only its text tells so far.
    pub fn new(text: &str, analysis: Analysis) -> Shape {
        Shape { text: text.into(), analysis, durations: RefCell::default(), estimate: Cell::default() }
    }

    /// What it is expected to take. Made anew only when it may have changed: it costs more than the rest of a
    /// warm reading.
    pub fn estimate(&self, costs: &CostModel) -> Estimate {
        match self.estimate.get() {
            Some((age, estimate)) if age == costs.generation() => estimate,
            _ => {
                let estimate = costs.estimate(&self.analysis, &self.durations.borrow());
                self.estimate.set(Some((costs.generation(), estimate)));
                estimate
            }
        }
    }

    /// It was served in this time.
    pub fn record_duration(&self, costs: &mut CostModel, us: u64) {
        costs.record_duration(&self.analysis, &mut self.durations.borrow_mut(), us);
        self.estimate.set(None);
    }

    /// Its text.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// A number for it, to compare by eye. Nothing is decided by it.
    pub fn fingerprint(&self) -> u64 {
        fnv1a(&self.text)
    }

    /// Bytes that it takes in the cache, all counted.
    pub fn bytes(&self) -> usize {
        ENTRY_BYTES + size_of::<Shape>() + self.text.len() + self.analysis.heap_bytes()
    }
}

/// A shape as its own key.
#[derive(Clone)]
struct Key(Rc<Shape>);

impl Hash for Key {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.text.as_bytes().hash(state);
    }
}

impl PartialEq for Key {
    fn eq(&self, other: &Key) -> bool {
        self.0.text == other.0.text
    }
}

impl Eq for Key {}

/// The text that is looked for.
struct Wanted<'t>(&'t [u8]);

impl Hash for Wanted<'_> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl Equivalent<Key> for Wanted<'_> {
    fn equivalent(&self, key: &Key) -> bool {
        self.0 == key.0.text.as_bytes()
    }
}

#[derive(Clone)]
struct Bytes;

impl Weighter<Key, Rc<Shape>> for Bytes {
    fn weight(&self, _: &Key, shape: &Rc<Shape>) -> u64 {
        shape.bytes() as u64
    }
}

/// Counts of what was asked of the cache.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CacheStats {
    /// Found.
    pub hits: u64,
    /// Not found.
    pub misses: u64,
}

/// ShapeCache, so many bytes at most. Admission is S3-FIFO's: one seen once leaves by the small queue, and evicts
/// none that was seen again.
pub struct ShapeCache<S = DefaultHashBuilder> {
    kept: Cache<Key, Rc<Shape>, Bytes, S>,
    longest: usize,
    stats: CacheStats,
}

impl ShapeCache {
    /// A cache of so many bytes, for shapes no longer than this.
    pub fn new(bytes: usize, longest: usize) -> ShapeCache {
        ShapeCache::with_hasher(bytes, longest, DefaultHashBuilder::default())
    }
}

impl<S: BuildHasher + Clone> ShapeCache<S> {
    /// The same with a hasher of the caller's.
    pub fn with_hasher(bytes: usize, longest: usize, hasher: S) -> ShapeCache<S> {
        let usual = size_of::<Shape>() + ENTRY_BYTES + 256;
        let options = OptionsBuilder::new()
            .estimated_items_capacity((bytes / usual).max(1))
            .weight_capacity(bytes as u64)
            .shards(1)
            .build();
        let kept = match options {
            Ok(options) => Cache::with_options(options, Bytes, hasher, DefaultLifecycle::default()),
            // All that it needs is given above.
            Err(_) => {
                Cache::with((bytes / usual).max(1), bytes as u64, Bytes, hasher, DefaultLifecycle::default())
            }
        };
        ShapeCache { kept, longest, stats: CacheStats::default() }
    }

    /// The shape with this text, if it is kept.
    pub fn get(&mut self, text: &[u8]) -> Option<Rc<Shape>> {
        let found = self.kept.get(&Wanted(text)).cloned();
        match found {
            Some(_) => self.stats.hits += 1,
            None => self.stats.misses += 1,
        }
        found
    }

    /// Keeps a shape, if it is not too long, and if it may: what was seen once may have to go first.
    pub fn put(&mut self, shape: Rc<Shape>) {
        if shape.text.len() <= self.longest {
            self.kept.insert(Key(shape.clone()), shape);
        }
    }

    /// ShapeCache that are kept.
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// Bytes that they take, as the bound counts them.
    pub fn bytes(&self) -> u64 {
        self.kept.weight()
    }

    /// Bytes that the cache's own tables take, as it counts them itself.
    pub fn table_bytes(&self) -> usize {
        self.kept.memory_used().total()
    }

    /// What was asked so far.
    pub fn stats(&self) -> CacheStats {
        self.stats
    }
}
