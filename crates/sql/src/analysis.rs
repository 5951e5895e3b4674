//! The result of analyzing a shape: its effect, tables, keys and cost features. Both the token scan and the walk over the
//! syntax tree fill these types, which depend on neither.

use std::borrow::Cow;

/// The effect of running a statement. Later variants are stricter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Effect {
    /// No effect: any member that is current enough may run it.
    Read,
    /// It may change data: only the primary may run it.
    Write,
    /// It changes the state of its session, or depends on that state.
    Session,
    /// The text is not a statement.
    Invalid,
}

impl Effect {
    /// The effect's name, as operators write it.
    pub fn name(self) -> &'static str {
        match self {
            Effect::Read => "read",
            Effect::Write => "write",
            Effect::Session => "session",
            Effect::Invalid => "invalid",
        }
    }
}

/// What a text does to its session's transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionControl {
    /// It begins a transaction.
    Begin,
    /// It ends the transaction.
    End,
    /// It needs an open transaction or names a prepared one, and neither begins nor ends the session's own.
    Within,
}

/// Why the proxy cannot serve a statement, whatever the rules say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unsupported {
    /// Transaction control. If a text has several, the last that begins or ends a transaction counts.
    Transaction(TransactionControl),
    /// Session state.
    Session,
    /// The data stream of COPY.
    Copy,
}

/// A column that a statement sets or requires to be equal to a literal.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyLiteral {
    /// The column's name without a table.
    pub column: Box<str>,
    /// The literal's index among the shape's placeholders.
    pub literal_index: u16,
    /// Whether the literal has a minus sign before it.
    pub negative: bool,
}

/// Features of a syntax tree that determine the guessed cost of a statement.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CostFeatures {
    /// Tables joined to the first table of their query.
    pub joins: u16,
    /// Calls of aggregate functions, and GROUP BY clauses.
    pub aggregates: u16,
    /// ORDER BY without LIMIT, DISTINCT, and set operations.
    pub sorts: u16,
    /// Queries within queries.
    pub subqueries: u16,
    /// Queries that read a table without a predicate.
    pub unfiltered: u16,
    /// Whether the outermost result has a LIMIT or is a single row.
    pub limited: bool,
    /// Whether the outermost query or change finds its rows by a literal key.
    pub keyed: bool,
}

/// The analysis of a shape.
#[derive(Clone, Debug, PartialEq)]
pub struct Analysis {
    /// The effect of running it.
    pub effect: Effect,
    /// The reason for the effect, for people to read.
    pub reason: Cow<'static, str>,
    /// Why the proxy cannot serve it, if so.
    pub unsupported: Option<Unsupported>,
    /// The tables, as written, each once.
    pub tables: Vec<Box<str>>,
    /// The columns that are equal to a literal in every row concerned.
    pub keys: Vec<KeyLiteral>,
    /// Features that determine the guessed cost.
    pub features: CostFeatures,
}

impl Analysis {
    /// The analysis to start from: a read of which nothing is known yet.
    pub(crate) fn new() -> Analysis {
        Analysis {
            effect: Effect::Read,
            reason: Cow::Borrowed(""),
            unsupported: None,
            tables: Vec::new(),
            keys: Vec::new(),
            features: CostFeatures::default(),
        }
    }

    /// The bytes that the analysis has on the heap.
    pub fn heap_bytes(&self) -> usize {
        let reason = if let Cow::Owned(text) = &self.reason { text.capacity() } else { 0 };
        let tables: usize = self.tables.iter().map(|t| t.len()).sum();
        let keys: usize = self.keys.iter().map(|k| k.column.len()).sum();
        reason
            + tables
            + keys
            + self.tables.capacity() * size_of::<Box<str>>()
            + self.keys.capacity() * size_of::<KeyLiteral>()
    }

    /// Replaces the effect and its reason if the given effect is stricter.
    pub(crate) fn raise(&mut self, effect: Effect, reason: impl Into<Cow<'static, str>>) {
        if effect > self.effect {
            (self.effect, self.reason) = (effect, reason.into());
        }
    }

    /// The same, where the reason is a text that is composed only if it is used.
    pub(crate) fn raise_with(&mut self, effect: Effect, reason: impl FnOnce() -> String) {
        if effect > self.effect {
            (self.effect, self.reason) = (effect, reason().into());
        }
    }
}
