//! Reads SQL statements as PostgreSQL does, far enough to route them: tokens, the shape, the verdict, the
//! tables and keys. Pure: no clock, no I/O, no state beyond a reading. It must never say `Read` of what may
//! write; where it is not sure, it says `Write`.
//!
//! ```
//! use sillfold_sql::{Bounds, Effect, Functions, Reading, judge};
//!
//! let mut reading = Reading::default();
//! reading.read("SELECT payload FROM entries WHERE ref IN ('a', 'b') -- both").unwrap();
//! assert_eq!(reading.shape(), "select payload from entries where ref in ( '?' ) ");
//! let analysis = judge(reading.shape(), &Functions::default(), &Bounds::default());
//! assert_eq!(analysis.effect, Effect::Read);
//! assert_eq!(&*analysis.tables[0], "entries");
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod analysis;
mod functions;
mod judge;
mod lex;
mod scan;
mod tree;

pub use analysis::{Analysis, Control, Effect, Features, Key, Unsupported};
pub use functions::{Additions, FunctionKind, Functions};
pub use judge::{Bounds, judge};
pub use lex::{Reading, Slot, Unreadable, literal_text};
