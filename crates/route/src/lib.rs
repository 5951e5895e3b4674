//! Routing of plain statements: their class, deadline and group by the operator's rules, and their expected duration.
//! Pure, without a clock or I/O: the caller passes the statements and reports how long they took.
//!
//! ```
//! use sillfold_route::{Options, StatementRouter, Target};
//!
//! let mut router = StatementRouter::new(Options::default());
//! let statement = router.read("SELECT nextval('s')").unwrap();
//! assert_eq!(statement.target(), Target::Primary);
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

/// The statement reader keeps its buffers for the next statement, up to this many bytes.
const READER_BUFFER_BYTES: usize = 64 * 1024;

/// The operator's settings for plain statements.
#[derive(Clone, Debug)]
pub struct Options {
    /// The rules. The first that matches counts.
    pub rules: Vec<Rule>,
    /// Whether a text with several statements goes to the primary as a whole. If not, it is refused.
    pub allow_multiple_statements: bool,
    /// The size of the shape cache.
    pub cache_bytes: usize,
    /// The longest shape that is cached.
    pub max_cached_shape_bytes: usize,
    /// Limits on the work for one statement.
    pub limits: ParseLimits,
    /// The assumed duration of the simplest statement until durations are recorded, in microseconds.
    pub base_cost_us: u64,
    /// The operator's additions to the built-in list of functions.
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

/// Which hosts may run a statement, by its effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// Any member that is current enough.
    Replica,
    /// Only the primary.
    Primary,
    /// None.
    Refuse,
}

impl Target {
    /// The target's name, as `explain` prints it.
    pub fn name(self) -> &'static str {
        match self {
            Target::Replica => "replica",
            Target::Primary => "primary",
            Target::Refuse => "refuse",
        }
    }
}

/// What is known of a statement's text once it was read.
pub struct StatementInfo {
    /// The shape, with its analysis and its measured durations.
    pub shape: Rc<Shape>,
    /// Whether the shape came from the cache.
    pub cached: bool,
    /// The number of statements in the text.
    pub statement_count: usize,
    /// The effect, which may be stricter than the shape's.
    pub effect: Effect,
    /// The reason for the effect.
    pub reason: Cow<'static, str>,
    /// The expected duration.
    pub estimate: Estimate,
    quoting_is_ambiguous: bool,
}

impl StatementInfo {
    /// The last transaction control in the text.
    pub fn transaction_control(&self) -> Option<TransactionControl> {
        match self.shape.analysis.unsupported {
            Some(Unsupported::Transaction(control)) => Some(control),
            _ => None,
        }
    }

    /// Where the statement goes by its effect alone, without the rules.
    pub fn target(&self) -> Target {
        match self.effect {
            _ if self.shape.analysis.unsupported.is_some() => Target::Refuse,
            Effect::Read if self.statement_count == 1 => Target::Replica,
            Effect::Read | Effect::Write => Target::Primary,
            Effect::Session | Effect::Invalid => Target::Refuse,
        }
    }
}

/// How a statement is to be served.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The index of the rule that matched.
    pub rule_index: usize,
    /// Whether only the primary may run the statement.
    pub writes: bool,
    /// The statement's group.
    pub group: u32,
    /// How long the client waits, in milliseconds.
    pub deadline_ms: u64,
    /// The expected duration of an attempt, in microseconds.
    pub expected_us: u64,
}

/// Why a statement is not served. The text is sent to the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteError {
    /// The proxy doesn't support it: a transaction, session state, COPY or several statements in one text.
    NotSupported(String),
    /// No rule matches it, or the rule that does determines no group.
    NoRoute(String),
}

/// Reads statements and routes them by the rules. Owns the shape cache, the cost model and the rules.
pub struct StatementRouter {
    options: Options,
    functions: Functions,
    reader: StatementReader,
    shape_cache: ShapeCache,
    costs: CostModel,
}

impl StatementRouter {
    /// A router with an empty cache and no recorded durations.
    pub fn new(options: Options) -> StatementRouter {
        StatementRouter {
            functions: Functions::new(&options.function_additions),
            reader: StatementReader::default(),
            shape_cache: ShapeCache::new(options.cache_bytes, options.max_cached_shape_bytes),
            costs: CostModel::new(options.base_cost_us),
            options,
        }
    }

    /// Replaces the options. The cache and the recorded durations are kept if only the rules and the handling of
    /// several statements changed; any other change may alter an analysis or an estimate, and discards them.
    pub fn replace_options(&mut self, options: Options) {
        let cache_inputs = |o: &Options| {
            (o.cache_bytes, o.max_cached_shape_bytes, o.limits, o.function_additions.clone(), o.base_cost_us)
        };
        if cache_inputs(&options) == cache_inputs(&self.options) {
            self.options = options;
        } else {
            *self = StatementRouter::new(options);
        }
    }

    /// The rules, in order.
    pub fn rules(&self) -> &[Rule] {
        &self.options.rules
    }

    /// The shape cache, for its figures.
    pub fn shape_cache(&self) -> &ShapeCache {
        &self.shape_cache
    }

    /// Reads a statement and looks up its shape in the cache. A new shape is analyzed and offered to the cache.
    pub fn read(&mut self, text: &str) -> Result<StatementInfo, ReadError> {
        self.reader.shrink(READER_BUFFER_BYTES);
        self.reader.read(text)?;
        let (shape, cached) = match self.shape_cache.get(self.reader.shape_bytes()) {
            Some(shape) => (shape, true),
            None => {
                let analysis = analyze(self.reader.shape(), &self.functions, &self.options.limits);
                let shape = Rc::new(Shape::new(self.reader.shape(), analysis));
                self.shape_cache.put(shape.clone());
                (shape, false)
            }
        };
        let estimate = shape.estimate(&self.costs);
        let quoting_is_ambiguous = self.reader.quoting_is_ambiguous();
        // The effect depends on the text too, not on the shape alone: with another setting, the server may end a string
        // of this text elsewhere.
        let (effect, reason) = if quoting_is_ambiguous {
            let stricter = self.reader.restrict_if_ambiguous(shape.analysis.clone());
            (stricter.effect, stricter.reason)
        } else {
            (shape.analysis.effect, shape.analysis.reason.clone())
        };
        let statement_count = self.reader.statement_count();
        Ok(StatementInfo { shape, cached, statement_count, effect, reason, estimate, quoting_is_ambiguous })
    }

    /// The last transaction control in a text, if the text can be read.
    pub fn transaction_control(&mut self, text: &str) -> Option<TransactionControl> {
        self.read(text).ok()?.transaction_control()
    }

    /// The route of the statement that was read last. `text` must be the text that `statement` was read from.
    pub fn route(
        &self, statement: &StatementInfo, text: &str, user: &str, database: &str,
    ) -> Result<Route, RouteError> {
        let analysis = &statement.shape.analysis;
        if let Some(unsupported) =
            analysis.unsupported.or((statement.effect == Effect::Session).then_some(Unsupported::Session))
        {
            let message = match unsupported {
                Unsupported::Transaction(_) => "no transaction is kept here",
                Unsupported::Session => "no state of a session is kept here",
                Unsupported::Copy => "no data stream is carried here",
            };
            return Err(RouteError::NotSupported(format!("{message}: {}", statement.reason)));
        }
        if statement.statement_count > 1 && !self.options.allow_multiple_statements {
            let message = format!("{} statements in one text are not served here", statement.statement_count);
            return Err(RouteError::NotSupported(message));
        }
        let stricter;
        let analysis = if statement.quoting_is_ambiguous {
            stricter = sillfold_sql::Analysis { effect: statement.effect, ..analysis.clone() };
            &stricter
        } else {
            analysis
        };
        let Estimate { p50_us, p95_us, .. } = statement.estimate;
        let facts = StatementFacts {
            analysis,
            statement_count: statement.statement_count,
            p50_us,
            p95_us,
            user,
            database,
        };
        let writes = facts.effect() != Effect::Read;
        let found = self.options.rules.iter().enumerate().find(|(_, r)| r.matches(&facts));
        let Some((rule_index, rule)) = found else {
            let tables = match analysis.tables.as_slice() {
                [] => "no tables".to_string(),
                tables => format!("tables {}", tables.join(", ")),
            };
            return Err(RouteError::NoRoute(format!(
                "no rule takes this {} of {tables}, about {} ms, by {user:?} in {database:?}: {}",
                facts.effect().name(),
                p50_us.div_ceil(1_000),
                statement.reason
            )));
        };
        let literals = self.reader.literals();
        let literal = |index: u16| {
            let literal = literals.get(usize::from(index))?;
            Some((text.get(literal.span.clone())?, literal.folded))
        };
        // The server may find other literals in a text whose quoting is ambiguous, so none of them may give the group.
        let literal = |index: u16| literal(index).filter(|_| !statement.quoting_is_ambiguous);
        let group =
            rule.group(&facts, literal).map_err(|GroupError(message)| RouteError::NoRoute(message))?;
        Ok(Route { rule_index, writes, group, deadline_ms: rule.deadline_ms, expected_us: p50_us })
    }

    /// Records how long a statement of this shape took, in microseconds.
    pub fn record_duration(&mut self, shape: &Shape, us: u64) {
        shape.record_duration(&mut self.costs, us);
    }
}
