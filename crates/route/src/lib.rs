//! Decides about plain statements: their class, deadline, group and cost. Pure: no clock, no I/O; it is told
//! what came and what it took, and says where it goes.
//!
//! ```
//! use sillfold_route::{StatementRouter, Options, Target};
//!
//! let mut router = StatementRouter::new(Options::default());
//! let read = router.read("SELECT nextval('s')").unwrap();
//! assert_eq!(read.target(), Target::Primary);
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod cache;
mod cost;
mod hash;
mod own_writes;
mod rules;
mod transaction;

pub use cache::{CacheStats, Shape, ShapeCache};
pub use cost::{CostModel, DurationHistogram, Estimate};
pub use hash::fnv1a;
pub use own_writes::OwnWrites;
pub use rules::{
    Classes, DurationRange, GroupError, GroupSelector, Rule, RuleFault, StatementFacts, TablePattern,
    find_faults, rendezvous,
};
pub use sillfold_sql as sql;
pub use transaction::{TransactionState, TransactionStep};

use sillfold_sql::{
    Effect, FunctionAdditions, Functions, ParseLimits, ReadError, StatementReader, TransactionControl,
    Unsupported, analyze,
};
use std::borrow::Cow;
use std::rc::Rc;

/// A reading keeps this much of its memory for the next one.
const KEPT_BYTES: usize = 64 * 1024;

/// What operators set.
#[derive(Clone, Debug)]
pub struct Options {
    /// The rules, the first that matches counts.
    pub rules: Vec<Rule>,
    /// Whether several statements in one text go to the primary whole; refused otherwise.
    pub allow_multiple_statements: bool,
    /// Bytes that the shape cache may hold.
    pub cache_bytes: usize,
    /// The longest shape that is kept, in bytes.
    pub max_cached_shape_bytes: usize,
    /// ParseLimits on the work for one statement.
    pub limits: ParseLimits,
    /// What the simplest statement takes until better is known, in microseconds.
    pub base_cost_us: u64,
    /// What is known of functions beside the list.
    pub function_additions: FunctionAdditions,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            rules: Vec::new(),
            allow_multiple_statements: true,
            cache_bytes: 2 << 20,
            max_cached_shape_bytes: 8 * 1024,
            limits: ParseLimits::default(),
            base_cost_us: 2_000,
            function_additions: FunctionAdditions::default(),
        }
    }
}

/// Where a statement goes, by what it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// Any member that is current enough.
    Replica,
    /// Only the primary.
    Primary,
    /// Nowhere.
    Refuse,
}

impl Target {
    /// Its name, as `explain` prints it.
    pub fn name(self) -> &'static str {
        match self {
            Target::Replica => "replica",
            Target::Primary => "primary",
            Target::Refuse => "refuse",
        }
    }
}

/// What was read of one statement's text.
pub struct StatementInfo {
    /// Its shape, with what was learnt of it.
    pub shape: Rc<Shape>,
    /// Whether the cache had it.
    pub cached: bool,
    /// Statements in the text.
    pub statement_count: usize,
    /// What it does, maybe more strictly than its shape says.
    pub effect: Effect,
    /// Why.
    pub reason: Cow<'static, str>,
    /// What it is expected to take.
    pub estimate: Estimate,
    quoting_is_ambiguous: bool,
}

impl StatementInfo {
    /// What it says of transactions.
    pub fn transaction_control(&self) -> Option<TransactionControl> {
        match self.shape.analysis.unsupported {
            Some(Unsupported::Transaction(control)) => Some(control),
            _ => None,
        }
    }

    /// Where it goes by its effect alone.
    pub fn target(&self) -> Target {
        match self.effect {
            _ if self.shape.analysis.unsupported.is_some() => Target::Refuse,
            Effect::Read if self.statement_count == 1 => Target::Replica,
            Effect::Read | Effect::Write => Target::Primary,
            Effect::Session | Effect::Invalid => Target::Refuse,
        }
    }
}

/// A statement's terms.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The rule that gave them, by its place.
    pub rule_index: usize,
    /// Whether only the primary may run it.
    pub writes: bool,
    /// Its group.
    pub group: u32,
    /// How long its client waits, in milliseconds.
    pub deadline_ms: u64,
    /// What an attempt is expected to take, in microseconds.
    pub expected_us: u64,
}

/// Why a statement is not served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteError {
    /// It can't be carried here: a transaction, state of a session, COPY, several statements.
    NotSupported(String),
    /// No rule gives it a route.
    NoRoute(String),
}

/// The router at which statements are read and given their terms. Owns the cache, the costs and the rules.
pub struct StatementRouter {
    options: Options,
    functions: Functions,
    reading: StatementReader,
    shapes: ShapeCache,
    costs: CostModel,
}

impl StatementRouter {
    /// A router that has seen nothing.
    pub fn new(options: Options) -> StatementRouter {
        StatementRouter {
            functions: Functions::new(&options.function_additions),
            reading: StatementReader::default(),
            shapes: ShapeCache::new(options.cache_bytes, options.max_cached_shape_bytes),
            costs: CostModel::new(options.base_cost_us),
            options,
        }
    }

    /// Other options from now on. ShapeCache and what was learnt of them stay, unless their verdicts may differ.
    pub fn replace_options(&mut self, options: Options) {
        let keys = |o: &Options| {
            (o.cache_bytes, o.max_cached_shape_bytes, o.limits, o.function_additions.clone(), o.base_cost_us)
        };
        if keys(&options) == keys(&self.options) {
            self.options = options;
        } else {
            *self = StatementRouter::new(options);
        }
    }

    /// The rules, in order.
    pub fn rules(&self) -> &[Rule] {
        &self.options.rules
    }

    /// The cache, for its figures.
    pub fn shape_cache(&self) -> &ShapeCache {
        &self.shapes
    }

    /// Reads a statement: its shape, from the cache or judged now.
    pub fn read(&mut self, text: &str) -> Result<StatementInfo, ReadError> {
        self.reading.shrink(KEPT_BYTES);
        self.reading.read(text)?;
        let (shape, cached) = match self.shapes.get(self.reading.shape_bytes()) {
            Some(shape) => (shape, true),
            None => {
                let analysis = analyze(self.reading.shape(), &self.functions, &self.options.limits);
                let shape = Rc::new(Shape::new(self.reading.shape(), analysis));
                self.shapes.put(shape.clone());
                (shape, false)
            }
        };
        let estimate = shape.estimate(&self.costs);
        let quoting_is_ambiguous = self.reading.quoting_is_ambiguous();
        // Not the shape's alone: another setting of the server may cut this text otherwise.
        let (effect, reason) = if quoting_is_ambiguous {
            let stricter = self.reading.apply_ambiguity(shape.analysis.clone());
            (stricter.effect, stricter.reason)
        } else {
            (shape.analysis.effect, shape.analysis.reason.clone())
        };
        let statement_count = self.reading.statement_count();
        Ok(StatementInfo { shape, cached, statement_count, effect, reason, estimate, quoting_is_ambiguous })
    }

    /// What a text says of transactions, if it can be read.
    pub fn transaction_control(&mut self, text: &str) -> Option<TransactionControl> {
        self.read(text).ok()?.transaction_control()
    }

    /// The terms of the statement that was read last; `text` is its text.
    pub fn route(
        &self, read: &StatementInfo, text: &str, user: &str, database: &str,
    ) -> Result<Route, RouteError> {
        let analysis = &read.shape.analysis;
        if let Some(what) =
            analysis.unsupported.or((read.effect == Effect::Session).then_some(Unsupported::Session))
        {
            let what = match what {
                Unsupported::Transaction(_) => "no transaction is kept here",
                Unsupported::Session => "no state of a session is kept here",
                Unsupported::Copy => "no data stream is carried here",
            };
            return Err(RouteError::NotSupported(format!("{what}: {}", read.reason)));
        }
        if read.statement_count > 1 && !self.options.allow_multiple_statements {
            let what = format!("{} statements in one text are not served here", read.statement_count);
            return Err(RouteError::NotSupported(what));
        }
        let stricter;
        let analysis = if read.quoting_is_ambiguous {
            stricter = sillfold_sql::Analysis { effect: read.effect, ..analysis.clone() };
            &stricter
        } else {
            analysis
        };
        let Estimate { p50_us, p95_us, .. } = read.estimate;
        let facts = StatementFacts {
            analysis,
            statement_count: read.statement_count,
            p50_us,
            p95_us,
            user,
            database,
        };
        let writes = facts.effect() != Effect::Read;
        let found = self.options.rules.iter().enumerate().find(|(_, r)| r.matches(&facts));
        let Some((rule_index, terms)) = found else {
            let tables = match analysis.tables.as_slice() {
                [] => "no tables".to_string(),
                tables => format!("tables {}", tables.join(", ")),
            };
            return Err(RouteError::NoRoute(format!(
                "no rule takes this {} of {tables}, about {} ms, by {user:?} in {database:?}: {}",
                facts.effect().name(),
                p50_us.div_ceil(1_000),
                read.reason
            )));
        };
        let slots = self.reading.literals();
        let literal = |slot: u16| {
            let slot = slots.get(usize::from(slot))?;
            Some((text.get(slot.span.clone())?, slot.folded))
        };
        // A text that may be cut otherwise may have other literals too.
        let literal = |slot: u16| literal(slot).filter(|_| !read.quoting_is_ambiguous);
        let group = terms.group(&facts, literal).map_err(|GroupError(what)| RouteError::NoRoute(what))?;
        Ok(Route { rule_index, writes, group, deadline_ms: terms.deadline_ms, expected_us: p50_us })
    }

    /// A statement of this shape was served in this time.
    pub fn record_duration(&mut self, shape: &Shape, us: u64) {
        shape.record_duration(&mut self.costs, us);
    }
}
