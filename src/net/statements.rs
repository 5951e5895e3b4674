//! Routes plain statements, those without the leading comment of a request. It owns the router of the `sillfold-route`
//! crate, and translates its results into class numbers and client errors. It must never decide a route itself, nor hold a
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

/// How a plain statement is served: what a leading comment would tell of it.
pub struct PlainRoute {
    pub class: u8,
    pub group: u32,
    pub deadline_ms: u64,
    /// How long an attempt is expected to take.
    pub expected_duration: Micros,
    /// Whether only the primary may run it.
    pub writes: bool,
    shape: Rc<Shape>,
}

impl PlainRoute {
    /// A number that identifies the statement's shape in records.
    pub fn shape_number(&self) -> u64 {
        self.shape.fingerprint()
    }
}

/// A statement that is refused: the client's error, and the statement's transaction control, if it has any.
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

/// The figures that the operators' console shows.
#[derive(Serialize)]
pub struct Figures {
    shapes: usize,
    shape_bytes: u64,
    hits: u64,
    misses: u64,
    refused: u64,
}

/// Routes plain statements by the operator's rules.
pub struct Statements {
    router: RefCell<StatementRouter>,
    /// The class number of each rule.
    classes: RefCell<Vec<u8>>,
    refused: Cell<u64>,
}

impl Statements {
    /// Creates the router of the operator's file; `None` if the file doesn't enable plain statements.
    pub fn from_config(conf: &Conf, program_settings: &ProgramSettings) -> Option<Rc<Statements>> {
        let statements = || Statements {
            router: RefCell::new(StatementRouter::new(conf.options())),
            classes: RefCell::new(class_numbers(conf, program_settings)),
            refused: Cell::default(),
        };
        conf.enabled.then(|| Rc::new(statements()))
    }

    /// Replaces the rules.
    pub fn replace(&self, conf: &Conf, program_settings: &ProgramSettings) {
        self.router.borrow_mut().replace_options(conf.options());
        *self.classes.borrow_mut() = class_numbers(conf, program_settings);
    }

    /// Routes a statement; `Ok(None)` if the text holds none.
    pub fn route(
        &self, text: &str, user: &str, database: &str,
    ) -> Result<Option<PlainRoute>, StatementRefusal> {
        let refuse = |code: &str, message: String| {
            self.refused.set(self.refused.get() + 1);
            Err(StatementRefusal::from(ErrorFields { code: code.into(), message, ..Default::default() }))
        };
        let mut router = self.router.borrow_mut();
        let parsed = match router.read(text) {
            Ok(parsed) => parsed,
            Err(ReadError::Empty) => return Ok(None),
            Err(e @ (ReadError::Nul | ReadError::Encoding)) => {
                return refuse(code::UNTRANSLATABLE, e.message().into());
            }
            Err(e @ ReadError::Unterminated) => return refuse(code::SYNTAX_ERROR, e.message().into()),
        };
        let route = match router.route(&parsed, text, user, database) {
            Ok(route) => route,
            Err(RouteError::NotSupported(message) | RouteError::NoRoute(message)) => {
                let refusal = refuse(code::FEATURE_NOT_SUPPORTED, message);
                return refusal.map_err(|refusal| StatementRefusal {
                    control: parsed.transaction_control(),
                    ..refusal
                });
            }
        };
        // The check of the operator's file makes sure that each rule has a known class.
        let Some(&class) = self.classes.borrow().get(route.rule_index) else {
            return refuse(code::UNDEFINED_OBJECT, "the rule's class is not known here".into());
        };
        Ok(Some(PlainRoute {
            class,
            group: route.group,
            deadline_ms: route.deadline_ms,
            expected_duration: route.expected_us,
            writes: route.writes,
            shape: parsed.shape,
        }))
    }

    /// The transaction control in a text, if there is any.
    pub fn transaction_control(&self, text: &str) -> Option<TransactionControl> {
        self.router.borrow_mut().transaction_control(text)
    }

    /// Records how long a served statement took, from which the router learns the cost of its shape.
    pub fn record_duration(&self, route: &PlainRoute, duration: Duration) {
        self.router.borrow_mut().record_duration(&route.shape, duration.as_micros() as u64);
    }

    /// The current figures.
    pub fn figures(&self) -> Figures {
        let router = self.router.borrow();
        let shapes = router.shape_cache();
        let asked = router.shape_cache().stats();
        Figures {
            shapes: shapes.len(),
            shape_bytes: shapes.bytes(),
            hits: asked.hits,
            misses: asked.misses,
            refused: self.refused.get(),
        }
    }
}

/// The class numbers of the rules. A rule of an unknown class gets a number that no class has.
fn class_numbers(conf: &Conf, program_settings: &ProgramSettings) -> Vec<u8> {
    let number = |name: &String| program_settings.class_names.iter().position(|c| c == name);
    conf.rules
        .iter()
        .map(|r| number(&r.class).and_then(|i| u8::try_from(i).ok()).unwrap_or(u8::MAX))
        .collect()
}
