//! Decides about plain statements: their class, deadline, group and cost. Pure: no clock, no I/O; it is told
//! what came and what it took, and says where it goes.
//!
//! ```
//! use sillfold_route::{Desk, Options, Target};
//!
//! let mut desk = Desk::new(Options::default());
//! let read = desk.read("SELECT nextval('s')").unwrap();
//! assert_eq!(read.target(), Target::Primary);
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod block;
mod cache;
mod cost;
mod hash;
mod rules;
mod writes;

pub use block::{Block, Met};
pub use cache::{Asked, Shape, Shapes};
pub use cost::{Costs, Estimate, Sketch};
pub use hash::fnv1a;
pub use rules::{Band, Classes, Facts, Fault, Group, NoRoute, Pattern, Rule, faults, rendezvous};
pub use sillfold_sql as sql;
pub use writes::OwnWrites;

use sillfold_sql::{Additions, Bounds, Control, Effect, Functions, Reading, Unreadable, Unsupported, judge};
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
    pub several: bool,
    /// Bytes that the shape cache may hold.
    pub cache_bytes: usize,
    /// The longest shape that is kept, in bytes.
    pub longest_kept: usize,
    /// Bounds on the work for one statement.
    pub bounds: Bounds,
    /// What the simplest statement takes until better is known, in microseconds.
    pub base_us: u64,
    /// What is known of functions beside the list.
    pub additions: Additions,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            rules: Vec::new(),
            several: true,
            cache_bytes: 2 << 20,
            longest_kept: 8 * 1024,
            bounds: Bounds::default(),
            base_us: 2_000,
            additions: Additions::default(),
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
pub struct Read {
    /// Its shape, with what was learnt of it.
    pub shape: Rc<Shape>,
    /// Whether the cache had it.
    pub cached: bool,
    /// Statements in the text.
    pub statements: usize,
    /// What it does, maybe more strictly than its shape says.
    pub effect: Effect,
    /// Why.
    pub why: Cow<'static, str>,
    /// What it is expected to take.
    pub estimate: Estimate,
    unsure: bool,
}

impl Read {
    /// What it says of transactions.
    pub fn control(&self) -> Option<Control> {
        match self.shape.analysis.unsupported {
            Some(Unsupported::Transaction(control)) => Some(control),
            _ => None,
        }
    }

    /// Where it goes by its effect alone.
    pub fn target(&self) -> Target {
        match self.effect {
            _ if self.shape.analysis.unsupported.is_some() => Target::Refuse,
            Effect::Read if self.statements == 1 => Target::Replica,
            Effect::Read | Effect::Write => Target::Primary,
            Effect::Session | Effect::Invalid => Target::Refuse,
        }
    }
}

/// A statement's terms.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The rule that gave them, by its place.
    pub rule: usize,
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
pub enum Refusal {
    /// It can't be carried here: a transaction, state of a session, COPY, several statements.
    NotCarried(String),
    /// No rule gives it a route.
    NoRoute(String),
}

/// The desk at which statements are read and given their terms. Owns the cache, the costs and the rules.
pub struct Desk {
    options: Options,
    functions: Functions,
    reading: Reading,
    shapes: Shapes,
    costs: Costs,
}

impl Desk {
    /// A desk that has seen nothing.
    pub fn new(options: Options) -> Desk {
        Desk {
            functions: Functions::new(&options.additions),
            reading: Reading::default(),
            shapes: Shapes::new(options.cache_bytes, options.longest_kept),
            costs: Costs::new(options.base_us),
            options,
        }
    }

    /// Other options from now on. Shapes and what was learnt of them stay, unless their verdicts may differ.
    pub fn replace(&mut self, options: Options) {
        let keys = |o: &Options| (o.cache_bytes, o.longest_kept, o.bounds, o.additions.clone(), o.base_us);
        if keys(&options) == keys(&self.options) {
            self.options = options;
        } else {
            *self = Desk::new(options);
        }
    }

    /// The rules, in order.
    pub fn rules(&self) -> &[Rule] {
        &self.options.rules
    }

    /// The cache, for its figures.
    pub fn shapes(&self) -> &Shapes {
        &self.shapes
    }

    /// Reads a statement: its shape, from the cache or judged now.
    pub fn read(&mut self, text: &str) -> Result<Read, Unreadable> {
        self.reading.shrink(KEPT_BYTES);
        self.reading.read(text)?;
        let (shape, cached) = match self.shapes.get(self.reading.shape_bytes()) {
            Some(shape) => (shape, true),
            None => {
                let analysis = judge(self.reading.shape(), &self.functions, &self.options.bounds);
                let shape = Rc::new(Shape::new(self.reading.shape(), analysis));
                self.shapes.put(shape.clone());
                (shape, false)
            }
        };
        let estimate = shape.estimate(&self.costs);
        let unsure = self.reading.unsure();
        // Not the shape's alone: another setting of the server may cut this text otherwise.
        let (effect, why) = if unsure {
            let stricter = self.reading.unsure_of(shape.analysis.clone());
            (stricter.effect, stricter.why)
        } else {
            (shape.analysis.effect, shape.analysis.why.clone())
        };
        let statements = self.reading.statements();
        Ok(Read { shape, cached, statements, effect, why, estimate, unsure })
    }

    /// What a text says of transactions, if it can be read.
    pub fn control(&mut self, text: &str) -> Option<Control> {
        self.read(text).ok()?.control()
    }

    /// The terms of the statement that was read last; `text` is its text.
    pub fn route(&self, read: &Read, text: &str, user: &str, database: &str) -> Result<Route, Refusal> {
        let analysis = &read.shape.analysis;
        if let Some(what) =
            analysis.unsupported.or((read.effect == Effect::Session).then_some(Unsupported::Session))
        {
            let what = match what {
                Unsupported::Transaction(_) => "no transaction is kept here",
                Unsupported::Session => "no state of a session is kept here",
                Unsupported::Copy => "no data stream is carried here",
            };
            return Err(Refusal::NotCarried(format!("{what}: {}", read.why)));
        }
        if read.statements > 1 && !self.options.several {
            let what = format!("{} statements in one text are not served here", read.statements);
            return Err(Refusal::NotCarried(what));
        }
        let stricter;
        let analysis = if read.unsure {
            stricter = sillfold_sql::Analysis { effect: read.effect, ..analysis.clone() };
            &stricter
        } else {
            analysis
        };
        let Estimate { p50_us, p95_us, .. } = read.estimate;
        let facts = Facts { analysis, statements: read.statements, p50_us, p95_us, user, database };
        let writes = facts.effect() != Effect::Read;
        let found = self.options.rules.iter().enumerate().find(|(_, r)| r.matches(&facts));
        let Some((rule, terms)) = found else {
            let tables = match analysis.tables.as_slice() {
                [] => "no tables".to_string(),
                tables => format!("tables {}", tables.join(", ")),
            };
            return Err(Refusal::NoRoute(format!(
                "no rule takes this {} of {tables}, about {} ms, by {user:?} in {database:?}: {}",
                facts.effect().name(),
                p50_us.div_ceil(1_000),
                read.why
            )));
        };
        let slots = self.reading.slots();
        let literal = |slot: u16| {
            let slot = slots.get(usize::from(slot))?;
            Some((text.get(slot.at.clone())?, slot.many))
        };
        // A text that may be cut otherwise may have other literals too.
        let literal = |slot: u16| literal(slot).filter(|_| !read.unsure);
        let group = terms.group(&facts, literal).map_err(|NoRoute(what)| Refusal::NoRoute(what))?;
        Ok(Route { rule, writes, group, deadline_ms: terms.deadline_ms, expected_us: p50_us })
    }

    /// A statement of this shape was served in this time.
    pub fn learn(&mut self, shape: &Shape, us: u64) {
        shape.learn(&mut self.costs, us);
    }
}
