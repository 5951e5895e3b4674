//! The judgement of a shape, by two independent analyses: the scan over its tokens and the walk over its
//! syntax tree; of two effects the stricter counts. It must never see the statement itself: the result is a
//! function of the shape and of the lists of functions, of nothing else.

use crate::analysis::{Analysis, Effect, Unsupported};
use crate::functions::Functions;
use crate::scan::Scan;
use crate::tree;

/// Bounds on the work for one shape; beyond them it is a write.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The longest shape that is parsed, in bytes.
    pub parsed: usize,
    /// The deepest nesting of parentheses that is parsed.
    pub depth: usize,
    /// The most operators and joining words in one statement: each may be a level of the tree.
    pub links: usize,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds { parsed: 16 * 1024, depth: 24, links: 200 }
    }
}

/// Judges a shape.
pub fn judge(shape: &str, functions: &Functions, bounds: &Bounds) -> Analysis {
    let mut scan = Scan::new(functions);
    let mut too_deep = false;
    if shape.len() <= bounds.parsed {
        scan.run(shape);
    } else {
        // Its first words still tell what it can't be carried as; all else does not matter.
        scan.heads(shape);
        scan.analysis.raise(Effect::Write, "it is longer than what is read");
    }
    if scan.deepest > bounds.depth || scan.links > bounds.links {
        too_deep = true;
        scan.analysis.raise(Effect::Write, "it is nested more deeply than what is read");
    }
    let mut analysis = scan.analysis;
    // Utility statements are told by their first words alone; the parser knows few of them.
    let parse = shape.len() <= bounds.parsed && !too_deep && analysis.unsupported.is_none() && !scan.utility;
    if parse {
        match tree::analyse(shape, functions) {
            Ok(tree) => {
                (analysis.tables, analysis.keys, analysis.features) = (tree.tables, tree.keys, tree.features);
                analysis.raise(tree.effect, tree.why);
            }
            Err(what) => analysis.raise(Effect::Write, format!("it does not parse: {what}")),
        }
    } else {
        // Whatever the tokens say: what only one of the two analyses has seen is no read.
        analysis.raise(Effect::Write, "it is not parsed");
    }
    if analysis.effect == Effect::Session && analysis.unsupported.is_none() {
        analysis.unsupported = Some(Unsupported::Session);
    }
    if analysis.why.is_empty() {
        analysis.why = "a query of known functions only".into();
    }
    analysis
}

impl crate::Reading {
    /// The verdict on the statement that was read last. Not only its shape's, which may be kept: a text that
    /// another setting of the server would cut otherwise is never a read.
    pub fn judge(&self, functions: &Functions, bounds: &Bounds) -> Analysis {
        self.unsure_of(judge(self.shape(), functions, bounds))
    }

    /// The same, for a shape's analysis that is known already.
    pub fn unsure_of(&self, mut analysis: Analysis) -> Analysis {
        if self.unsure() {
            analysis.raise(Effect::Write, "another setting of the server would end a string elsewhere");
        }
        analysis
    }
}
