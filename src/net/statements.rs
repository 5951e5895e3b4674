//! The desk for plain statements, among clients: it owns the `StatementRouter` of the route crate, and turns what that says
//! into classes by number and errors that a client is told. It must never decide a route itself, nor hold a
//! borrow across an await.

use crate::Micros;
use crate::operator::Statements as Conf;
use crate::pg::{ErrorFields, code};
use crate::settings::ProgramSettings;
use serde::Serialize;
use sillfold_route::sql::{ReadError, TransactionControl};
use sillfold_route::{RouteError, Shape, StatementRouter};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// The terms of a plain statement.
pub struct PlainRoute {
    pub class: u8,
    pub group: u32,
    pub deadline_ms: u64,
    /// What an attempt is expected to take.
    pub expected: Micros,
    /// Whether only the primary may run it.
    pub writes: bool,
    shape: Rc<Shape>,
}

impl PlainRoute {
    /// A number for the statement's shape, to tell by eye.
    pub fn shape_number(&self) -> u64 {
        self.shape.fingerprint()
    }
}

/// A statement that is turned away: what its client is told, and what it says of transactions.
#[derive(Default)]
pub struct StatementRefusal {
    pub fields: ErrorFields,
    pub control: Option<TransactionControl>,
}

impl From<ErrorFields> for StatementRefusal {
    fn from(fields: ErrorFields) -> StatementRefusal {
        StatementRefusal { fields, control: None }
    }
}

/// What operators are told.
#[derive(Serialize)]
pub struct Figures {
    shapes: usize,
    shape_bytes: u64,
    hits: u64,
    misses: u64,
    refused: u64,
}

/// How plain statements get their terms.
pub struct Statements {
    desk: RefCell<StatementRouter>,
    /// The class of each rule, by number.
    classes: RefCell<Vec<u8>>,
    refused: Cell<u64>,
}

impl Statements {
    /// What the operator's file sets, if it switches them on.
    pub fn from_config(conf: &Conf, program_settings: &ProgramSettings) -> Option<Rc<Statements>> {
        let statements = || Statements {
            desk: RefCell::new(StatementRouter::new(conf.options())),
            classes: RefCell::new(numbers(conf, program_settings)),
            refused: Cell::default(),
        };
        conf.enabled.then(|| Rc::new(statements()))
    }

    /// Other rules, from now on.
    pub fn replace(&self, conf: &Conf, program_settings: &ProgramSettings) {
        self.desk.borrow_mut().replace_options(conf.options());
        *self.classes.borrow_mut() = numbers(conf, program_settings);
    }

    /// The terms of a statement; nothing if there is none in the text.
    pub fn terms(
        &self, text: &str, user: &str, database: &str,
    ) -> Result<Option<PlainRoute>, StatementRefusal> {
        let refuse = |code: &str, message: String| {
            self.refused.set(self.refused.get() + 1);
            Err(StatementRefusal::from(ErrorFields { code: code.into(), message, ..Default::default() }))
        };
        let mut desk = self.desk.borrow_mut();
        let read = match desk.read(text) {
            Ok(read) => read,
            Err(ReadError::Empty) => return Ok(None),
            Err(e @ (ReadError::Nul | ReadError::Encoding)) => {
                return refuse(code::UNTRANSLATABLE, e.message().into());
            }
            Err(e @ ReadError::Unterminated) => return refuse(code::SYNTAX_ERROR, e.message().into()),
        };
        let route = match desk.route(&read, text, user, database) {
            Ok(route) => route,
            Err(RouteError::NotSupported(what) | RouteError::NoRoute(what)) => {
                let turned = refuse(code::FEATURE_NOT_SUPPORTED, what);
                return turned.map_err(|t| StatementRefusal { control: read.transaction_control(), ..t });
            }
        };
        // Every rule has a class here: the file was checked against them.
        let Some(&class) = self.classes.borrow().get(route.rule_index) else {
            return refuse(code::UNDEFINED_OBJECT, "the rule's class is not known here".into());
        };
        Ok(Some(PlainRoute {
            class,
            group: route.group,
            deadline_ms: route.deadline_ms,
            expected: route.expected_us,
            writes: route.writes,
            shape: read.shape,
        }))
    }

    /// What a text says of transactions.
    pub fn control(&self, text: &str) -> Option<TransactionControl> {
        self.desk.borrow_mut().transaction_control(text)
    }

    /// A statement was served in this time.
    pub fn learn(&self, terms: &PlainRoute, took: Duration) {
        self.desk.borrow_mut().record_duration(&terms.shape, took.as_micros() as u64);
    }

    /// The figures of this moment.
    pub fn figures(&self) -> Figures {
        let desk = self.desk.borrow();
        let (shapes, asked) = (desk.shape_cache(), desk.shape_cache().stats());
        Figures {
            shapes: shapes.len(),
            shape_bytes: shapes.bytes(),
            hits: asked.hits,
            misses: asked.misses,
            refused: self.refused.get(),
        }
    }
}

/// The classes of the rules; one that is not known has a number that no class has.
fn numbers(conf: &Conf, program_settings: &ProgramSettings) -> Vec<u8> {
    let number = |name: &String| program_settings.class_names.iter().position(|c| c == name);
    conf.rules
        .iter()
        .map(|r| number(&r.class).and_then(|i| u8::try_from(i).ok()).unwrap_or(u8::MAX))
        .collect()
}
