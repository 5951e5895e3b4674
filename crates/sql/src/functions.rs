//! The functions whose effects are known: those without any, and those that use session state. All others may write. The
//! list consists of the built-in functions and the operator's additions. A name that neither lists is unknown; nothing is
//! guessed.

use std::collections::{HashMap, HashSet};

/// The built-in list. `functions.txt` explains its format.
const BUILTIN_LIST: &str = include_str!("functions.txt");

/// The effect of calling a function.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FunctionKind {
    /// It has no effect beyond its result.
    SideEffectFree,
    /// It is an aggregate, without effect beyond its result.
    Aggregate,
    /// It changes the state of its session, or depends on that state.
    Session,
}

/// The operator's additions to the built-in list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FunctionAdditions {
    /// Functions without effects, as statements call them: `area` or `gis.area`.
    pub side_effect_free: Vec<String>,
    /// Names of functions, views or anything else whose mention makes a statement a write.
    pub with_effects: Vec<String>,
    /// Whether the built-in list is ignored.
    pub omit_builtin: bool,
}

/// The known functions, by the name under which statements call them.
pub struct Functions {
    known: HashMap<Box<str>, FunctionKind>,
    with_effects: HashSet<Box<str>>,
}

impl Default for Functions {
    fn default() -> Functions {
        Functions::new(&FunctionAdditions::default())
    }
}

impl Functions {
    /// The built-in list with the operator's additions, which override it.
    pub fn new(additions: &FunctionAdditions) -> Functions {
        let mut known = HashMap::new();
        let lines = BUILTIN_LIST.lines().filter(|_| !additions.omit_builtin);
        for (kind, names) in lines.filter_map(|l| l.split_once(':')).filter(|l| !l.0.starts_with('#')) {
            let kind = match kind {
                "aggregate" => FunctionKind::Aggregate,
                "session" => FunctionKind::Session,
                _ => FunctionKind::SideEffectFree,
            };
            known.extend(names.split_whitespace().map(|n| (Box::from(n), kind)));
        }
        known.extend(
            additions.side_effect_free.iter().map(|n| (Box::from(n.as_str()), FunctionKind::SideEffectFree)),
        );
        let with_effects: HashSet<Box<str>> =
            additions.with_effects.iter().map(|n| Box::from(n.as_str())).collect();
        known.retain(|name, _| !with_effects.contains(name));
        Functions { known, with_effects }
    }

    /// The kind of a function, by the unquoted parts of its name. A name without a schema also matches a call in the schema
    /// `pg_catalog`. A name that the operator wrote with a schema matches only with that schema.
    pub fn kind(&self, parts: &[impl AsRef<str>]) -> Option<FunctionKind> {
        match parts {
            [name] => self.known.get(name.as_ref()).copied(),
            [schema, name] if schema.as_ref() == "pg_catalog" && !name.as_ref().contains('.') => {
                self.known.get(name.as_ref()).copied()
            }
            // Guards against a function in another schema that has the name of a known one.
            parts => {
                let parts: Vec<&str> = parts.iter().map(AsRef::as_ref).collect();
                self.known.get(parts.join(".").as_str()).copied()
            }
        }
    }

    /// Whether the operator listed the name, with or without a schema, as having effects.
    pub fn has_effects(&self, name: &str) -> bool {
        self.with_effects.contains(name)
    }

    /// Whether the operator listed any name as having effects.
    pub fn any_with_effects(&self) -> bool {
        !self.with_effects.is_empty()
    }
}
