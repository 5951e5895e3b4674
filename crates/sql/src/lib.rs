//! Reads SQL statements as PostgreSQL does, far enough to route them: tokens, the shape, the verdict, the
//! tables and keys. Pure: no clock, no I/O, no state beyond a reading. It must never say `Read` of what may
//! write; where it is not sure, it says `Write`.
//!
//! ```
//! use sillfold_sql::{ParseLimits, Effect, Functions, StatementReader, analyze};
//!
//! let mut reading = StatementReader::default();
//! reading.read("SELECT payload FROM entries WHERE ref IN ('a', 'b') -- both").unwrap();
//! assert_eq!(reading.shape(), "select payload from entries where ref in ( '?' ) ");
//! let analysis = analyze(reading.shape(), &Functions::default(), &ParseLimits::default());
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
pub use analyze::{ParseLimits, analyze};
pub use functions::{FunctionAdditions, FunctionKind, Functions};
pub use lex::{Literal, ReadError, StatementReader, literal_text};
