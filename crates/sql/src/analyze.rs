//! The judgement of a shape, by two independent analyses: the scan over its tokens and the walk over its
//! syntax tree; of two effects the stricter counts. It must never see the statement itself: the result is a
//! function of the shape and of the lists of functions, of nothing else.

use crate::analysis::{Analysis, Effect, Unsupported};
use crate::functions::Functions;
use crate::scan::Scan;
use crate::tree;

/// ParseLimits on the work for one shape; beyond them it is a write.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ParseLimits {
    /// The longest shape that is parsed, in bytes.
    pub max_shape_bytes: usize,
    /// The deepest nesting of parentheses that is parsed.
    pub max_depth: usize,
    /// The most operators and joining words in one statement: each may be a level of the tree.
    pub max_operators: usize,
}

impl Default for ParseLimits {
    fn default() -> ParseLimits {
        ParseLimits { max_shape_bytes: 16 * 1024, max_depth: 24, max_operators: 200 }
    }
}

/// Judges a shape.
pub fn analyze(shape: &str, functions: &Functions, limits: &ParseLimits) -> Analysis {
    let mut scan = Scan::new(functions);
    let mut too_deep = false;
    if shape.len() <= limits.max_shape_bytes {
        scan.run(shape);
    } else {
        // Its first words still tell what it can't be carried as; all else does not matter.
        scan.heads(shape);
        scan.analysis.raise(Effect::Write, "it is longer than what is read");
    }
    if scan.deepest > limits.max_depth || scan.links > limits.max_operators {
        too_deep = true;
        scan.analysis.raise(Effect::Write, "it is nested more deeply than what is read");
    }
    let mut analysis = scan.analysis;
    // Utility statements are told by their first words alone; the parser knows few of them.
    let parse =
        shape.len() <= limits.max_shape_bytes && !too_deep && analysis.unsupported.is_none() && !scan.utility;
    if parse {
        match tree::analyze(shape, functions) {
            Ok(tree) => {
                (analysis.tables, analysis.keys, analysis.features) = (tree.tables, tree.keys, tree.features);
                analysis.raise(tree.effect, tree.reason);
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
    if analysis.reason.is_empty() {
        analysis.reason = "a query of known functions only".into();
    }
    analysis
}

impl crate::StatementReader {
    /// The verdict on the statement that was read last. Not only its shape's, which may be kept: a text that
    /// another setting of the server would cut otherwise is never a read.
    pub fn analyze(&self, functions: &Functions, limits: &ParseLimits) -> Analysis {
        self.restrict_if_ambiguous(analyze(self.shape(), functions, limits))
    }

    /// The same, for a shape's analysis that is known already.
    pub fn restrict_if_ambiguous(&self, mut analysis: Analysis) -> Analysis {
        if self.quoting_is_ambiguous() {
            analysis.raise(Effect::Write, "another setting of the server would end a string elsewhere");
        }
        analysis
    }
}
