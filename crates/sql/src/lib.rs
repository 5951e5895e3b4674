//! Reads SQL statements as PostgreSQL does, as far as routing needs it: tokens, the statement's shape, its effect, tables
//! and keys. Pure: no clock, no I/O, and no state beyond one statement. It must never report [`Effect::Read`] for a
//! statement that may write; if it is not sure, it reports [`Effect::Write`].
//!
//! A shape is a statement's text with lower-case words, without comments, and with a placeholder for each literal.
//!
//! ```
//! use sillfold_sql::{ParseLimits, Effect, Functions, StatementReader, analyze};
//!
//! let mut reader = StatementReader::default();
//! reader.read("SELECT payload FROM entries WHERE ref IN ('a', 'b') -- both").unwrap();
//! assert_eq!(reader.shape(), "select payload from entries where ref in ( '?' ) ");
//! let analysis = analyze(reader.shape(), &Functions::default(), &ParseLimits::default());
//! assert_eq!(analysis.effect, Effect::Read);
//! assert_eq!(&*analysis.tables[0], "entries");
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod analysis;
mod analyze;
mod functions;
mod lex;
mod scan;
mod tree;

pub use analysis::{Analysis, CostFeatures, Effect, KeyLiteral, TransactionControl, Unsupported};
pub use analyze::{ParseLimits, analyze, analyze_counting};
pub use functions::{FunctionAdditions, FunctionKind, Functions};
pub use lex::{Literal, ReadError, StatementReader, literal_text};
