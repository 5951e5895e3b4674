//! The shape cache: the analysis and the measured durations of each shape, looked up by the shape's whole text. The
//! cache must never hold more bytes than its bound, and never return a shape for a text other than the shape's own:
//! the hash only selects the candidates, and the texts are compared.

use crate::cost::{CostModel, DurationHistogram, Estimate};
use crate::hash::fnv1a;
use quick_cache::unsync::{Cache, DefaultLifecycle};
use quick_cache::{DefaultHashBuilder, Equivalent, OptionsBuilder, Weighter};
use sillfold_sql::Analysis;
use std::cell::{Cell, RefCell};
use std::hash::{BuildHasher, Hash, Hasher};
use std::rc::Rc;

/// Bytes of an entry besides the shape itself: the cache's own slot and index, and the allocator's overhead for
/// three blocks. Measured with `sillfold-lab statements`.
const ENTRY_BYTES: usize = 112;

/// A shape, its analysis and its durations.
pub struct Shape {
    text: Box<str>,
    /// The shape's effect, tables and keys.
    pub analysis: Analysis,
    /// The durations of its statements.
    pub durations: RefCell<DurationHistogram>,
    /// The last estimate, with the generation of the cost model that made it.
    estimate: Cell<Option<(u64, Estimate)>>,
}

impl Shape {
    /// A shape of which no statement has run yet.
    pub fn new(text: &str, analysis: Analysis) -> Shape {
        Shape { text: text.into(), analysis, durations: RefCell::default(), estimate: Cell::default() }
    }

    /// The expected duration. It is computed again only when it may have changed, because computing it costs more
    /// than the rest of reading a statement whose shape is cached.
    pub fn estimate(&self, costs: &CostModel) -> Estimate {
        match self.estimate.get() {
            Some((generation, estimate)) if generation == costs.generation() => estimate,
            _ => {
                let estimate = costs.estimate(&self.analysis, &self.durations.borrow());
                self.estimate.set(Some((costs.generation(), estimate)));
                estimate
            }
        }
    }

    /// Records the duration of a statement of this shape, in microseconds.
    pub fn record_duration(&self, costs: &mut CostModel, us: u64) {
        costs.record_duration(&self.analysis, &mut self.durations.borrow_mut(), us);
        self.estimate.set(None);
    }

    /// The shape's text.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// A hash of the text, for people to compare. No decision depends on it.
    pub fn fingerprint(&self) -> u64 {
        fnv1a(&self.text)
    }

    /// The bytes that the shape takes in the cache, including the entry's overhead.
    pub fn bytes(&self) -> usize {
        ENTRY_BYTES + size_of::<Shape>() + self.text.len() + self.analysis.heap_bytes()
    }
}

/// The cache's key: the shape, compared and hashed by its text.
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

/// The text of a lookup.
struct LookupText<'t>(&'t [u8]);

impl Hash for LookupText<'_> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl Equivalent<Key> for LookupText<'_> {
    fn equivalent(&self, key: &Key) -> bool {
        self.0 == key.0.text.as_bytes()
    }
}

/// Weighs an entry by its bytes.
#[derive(Clone)]
struct ByteWeighter;

impl Weighter<Key, Rc<Shape>> for ByteWeighter {
    fn weight(&self, _: &Key, shape: &Rc<Shape>) -> u64 {
        shape.bytes() as u64
    }
}

/// Counts of lookups in the cache.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CacheStats {
    /// Lookups that found their shape.
    pub hits: u64,
    /// Lookups that found nothing.
    pub misses: u64,
}

/// A cache of shapes, bounded in bytes. It admits and evicts by S3-FIFO: a shape that was seen once leaves through
/// the small queue and evicts none that was seen again.
pub struct ShapeCache<S = DefaultHashBuilder> {
    entries: Cache<Key, Rc<Shape>, ByteWeighter, S>,
    max_shape_bytes: usize,
    stats: CacheStats,
}

impl ShapeCache {
    /// A cache of at most `bytes` bytes, for shapes of at most `max_shape_bytes` bytes of text.
    pub fn new(bytes: usize, max_shape_bytes: usize) -> ShapeCache {
        ShapeCache::with_hasher(bytes, max_shape_bytes, DefaultHashBuilder::default())
    }
}

impl<S: BuildHasher + Clone> ShapeCache<S> {
    /// Like [`ShapeCache::new`], with the given hasher.
    pub fn with_hasher(bytes: usize, max_shape_bytes: usize, hasher: S) -> ShapeCache<S> {
        let typical_entry_bytes = size_of::<Shape>() + ENTRY_BYTES + 256;
        let options = OptionsBuilder::new()
            .estimated_items_capacity((bytes / typical_entry_bytes).max(1))
            .weight_capacity(bytes as u64)
            .shards(1)
            .build();
        let entries = match options {
            Ok(options) => Cache::with_options(options, ByteWeighter, hasher, DefaultLifecycle::default()),
            // The builder fails only if one of the two capacities is missing, and both are given above.
            Err(_) => Cache::with(
                (bytes / typical_entry_bytes).max(1),
                bytes as u64,
                ByteWeighter,
                hasher,
                DefaultLifecycle::default(),
            ),
        };
        ShapeCache { entries, max_shape_bytes, stats: CacheStats::default() }
    }

    /// The shape with this text, if the cache has it.
    pub fn get(&mut self, text: &[u8]) -> Option<Rc<Shape>> {
        let found = self.entries.get(&LookupText(text)).cloned();
        match found {
            Some(_) => self.stats.hits += 1,
            None => self.stats.misses += 1,
        }
        found
    }

    /// Inserts a shape, unless its text is too long. The cache may evict it again before shapes that were seen more
    /// than once.
    pub fn put(&mut self, shape: Rc<Shape>) {
        if shape.text.len() <= self.max_shape_bytes {
            self.entries.insert(Key(shape.clone()), shape);
        }
    }

    /// The number of shapes in the cache.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The bytes of all entries, as the cache's bound counts them.
    pub fn bytes(&self) -> u64 {
        self.entries.weight()
    }

    /// The bytes of the cache's own tables, as the cache library counts them.
    pub fn table_bytes(&self) -> usize {
        self.entries.memory_used().total()
    }

    /// The counts of lookups so far.
    pub fn stats(&self) -> CacheStats {
        self.stats
    }
}
