//! What is known of functions: those without effects, those that belong to a session, all others may write.
//! It owns the list that comes with the program and what operators add to it. It must never guess: a name
//! that nobody listed is not known.

use std::collections::{HashMap, HashSet};

/// The list that comes with the program, as `functions.txt` explains it.
const LIST: &str = include_str!("functions.txt");

/// What a call of a function does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FunctionKind {
    /// Nothing beyond its value.
    SideEffectFree,
    /// The same, over many rows.
    Aggregate,
    /// It changes the session, or needs what was left in it.
    Session,
}

/// What operators say beside the list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FunctionAdditions {
    /// Functions without effects, as they are called: `area` or `gis.area`.
    pub side_effect_free: Vec<String>,
    /// Names, of functions, views or anything else, whose mention makes a statement a write.
    pub with_effects: Vec<String>,
    /// Whether the list that comes with the program counts.
    pub omit_builtin: bool,
}

/// All functions that are known, by the name under which statements call them.
pub struct Functions {
    known: HashMap<Box<str>, FunctionKind>,
    effects: HashSet<Box<str>>,
}

impl Default for Functions {
    fn default() -> Functions {
        Functions::new(&FunctionAdditions::default())
    }
}

impl Functions {
    /// The list with what operators add; their word outranks it.
    pub fn new(additions: &FunctionAdditions) -> Functions {
        let mut known = HashMap::new();
        let lines = LIST.lines().filter(|_| !additions.omit_builtin);
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
        let effects: HashSet<Box<str>> =
            additions.with_effects.iter().map(|n| Box::from(n.as_str())).collect();
        known.retain(|name, _| !effects.contains(name));
        Functions { known, effects }
    }

    /// What is known of a function by its parts, names in quotes without them. A list name counts bare or in
    /// `pg_catalog`, one of operators as they wrote it.
    pub fn kind(&self, parts: &[impl AsRef<str>]) -> Option<FunctionKind> {
        match parts {
            [name] => self.known.get(name.as_ref()).copied(),
            [schema, name] if schema.as_ref() == "pg_catalog" && !name.as_ref().contains('.') => {
                self.known.get(name.as_ref()).copied()
            }
            // Guards against a schema's own function of a known name.
            parts => {
                let whole: Vec<&str> = parts.iter().map(AsRef::as_ref).collect();
                self.known.get(whole.join(".").as_str()).copied()
            }
        }
    }

    /// Whether the mention of a name, or of one in a schema, is a write.
    pub fn has_effects(&self, name: &str) -> bool {
        self.effects.contains(name)
    }

    /// Whether anything is said of effects at all.
    pub fn any_with_effects(&self) -> bool {
        !self.effects.is_empty()
    }
}
