//! Analyzes a shape in two independent ways, by a scan over its tokens and by a walk over its syntax tree. Of the two
//! effects the stricter counts. The result must depend on the shape and the lists of functions alone, never on the
//! statement itself, because it is cached by shape.

use crate::analysis::{Analysis, Effect, Unsupported};
use crate::functions::Functions;
use crate::scan::TokenScan;
use crate::tree;

/// Limits on the work for one shape. A shape that exceeds them counts as a write.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ParseLimits {
    /// The longest shape that is parsed.
    pub max_shape_bytes: usize,
    /// The deepest nesting of parentheses and brackets that is parsed.
    pub max_depth: usize,
    /// The most operators and joining words in one statement. Each may add a level to the syntax tree.
    pub max_operators: usize,
}

impl Default for ParseLimits {
    fn default() -> ParseLimits {
        ParseLimits { max_shape_bytes: 16 * 1024, max_depth: 24, max_operators: 200 }
    }
}

/// Analyzes a shape.
pub fn analyze(shape: &str, functions: &Functions, limits: &ParseLimits) -> Analysis {
    analyze_counting(shape, functions, limits).0
}

/// The same, with the work of the scan: how many tokens were looked at, each as often as it was. The work of the parser is
/// not counted; the limits bound what it is given.
pub fn analyze_counting(shape: &str, functions: &Functions, limits: &ParseLimits) -> (Analysis, u64) {
    let mut scan = TokenScan::new(functions);
    let mut too_deep = false;
    if shape.len() <= limits.max_shape_bytes {
        scan.run(shape);
    } else {
        // The first words still determine whether the statement is unsupported. The rest doesn't matter.
        scan.run_first_words(shape);
        scan.analysis.raise(Effect::Write, "it is longer than what is read");
    }
    if scan.max_depth > limits.max_depth || scan.operators > limits.max_operators {
        too_deep = true;
        scan.analysis.raise(Effect::Write, "it is nested more deeply than what is read");
    }
    let steps = scan.steps;
    let mut analysis = scan.analysis;
    // Utility statements are identified by their first words alone; the parser supports few of them.
    let parse =
        shape.len() <= limits.max_shape_bytes && !too_deep && analysis.unsupported.is_none() && !scan.utility;
    if parse {
        match tree::analyze(shape, functions) {
            Ok(tree) => {
                (analysis.tables, analysis.keys, analysis.features) = (tree.tables, tree.keys, tree.features);
                analysis.raise(tree.effect, tree.reason);
            }
            Err(message) => analysis.raise(Effect::Write, format!("it does not parse: {message}")),
        }
    } else {
        // A statement that only one of the two analyses has seen is never a read, whatever its tokens are.
        analysis.raise(Effect::Write, "it is not parsed");
    }
    if analysis.effect == Effect::Session && analysis.unsupported.is_none() {
        analysis.unsupported = Some(Unsupported::Session);
    }
    if analysis.reason.is_empty() {
        analysis.reason = "a query of known functions only".into();
    }
    (analysis, steps)
}

impl crate::StatementReader {
    /// Analyzes the statement that was read last. Unlike [`analyze()`], whose result may be cached by shape, it considers
    /// the statement's quoting: a text in which another setting of the server would end a string elsewhere is never a
    /// read.
    pub fn analyze(&self, functions: &Functions, limits: &ParseLimits) -> Analysis {
        self.restrict_if_ambiguous(analyze(self.shape(), functions, limits))
    }

    /// Makes a shape's analysis a write if the quoting of the statement that was read last is ambiguous.
    pub fn restrict_if_ambiguous(&self, mut analysis: Analysis) -> Analysis {
        if self.quoting_is_ambiguous() {
            analysis.raise(Effect::Write, "another setting of the server would end a string elsewhere");
        }
        analysis
    }
}
