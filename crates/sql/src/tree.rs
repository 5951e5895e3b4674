//! The walk over the syntax tree of a shape: its effect, tables, keys and cost features. It calls the SQL parser. It must
//! never recurse deeper than the caller's limits allow, and never take an unknown node for one without effects.

use crate::analysis::{Analysis, CostFeatures, Effect, KeyLiteral};
use crate::functions::{FunctionKind, Functions};
use crate::lex::{Token, tokens};
use sqlparser::ast::{
    BinaryOperator, Delete, Distinct, Expr, FromTable, GroupByExpr, Ident, InTarget, Insert, LimitClause,
    ObjectName, Query, Select, SetExpr, Statement, TableFactor, TableObject, TableWithJoins, UnaryOperator,
    Update, Value, Visit, Visitor,
};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;
use std::collections::HashSet;
use std::ops::ControlFlow;

/// The deepest nesting of expressions and queries that the parser accepts.
const MAX_PARSER_DEPTH: usize = 60;

/// The shape as a text for the parser. Each placeholder is replaced by its index, so that the syntax tree identifies its
/// literals.
fn with_literal_indices(shape: &str) -> String {
    use std::fmt::Write;
    let mut out = String::with_capacity(shape.len() + 64);
    let mut literal_index = 0;
    // Whether the next token follows the last one without a space.
    let mut joined = true;
    let mut previous = ";";
    for (token, text) in tokens(shape) {
        // The parser accepts TABLE only as a part of a statement, not as a whole one.
        let is_table_statement =
            token == Token::Word && text == "table" && [";", "(", "union", "all"].contains(&previous);
        let text = if is_table_statement { "select * from" } else { text };
        previous = text;
        let is_dot = token == Token::Dot;
        if !joined && !is_dot {
            out.push(' ');
        }
        joined = is_dot;
        // Writing to a string never fails.
        let _ = match token {
            Token::PlainString(_) => write!(out, "'{literal_index}'"),
            Token::BitString(_) => write!(out, "B'0'"),
            Token::Number => write!(out, "{literal_index}"),
            _ => out.write_str(text),
        };
        literal_index +=
            usize::from(matches!(token, Token::PlainString(_) | Token::BitString(_) | Token::Number));
    }
    out
}

/// Parses a shape and analyzes its syntax tree. The error says why the shape doesn't parse.
pub(crate) fn analyze(shape: &str, functions: &Functions) -> Result<Analysis, String> {
    let text = with_literal_indices(shape);
    let dialect = PostgreSqlDialect {};
    let parsed = Parser::new(&dialect).with_recursion_limit(MAX_PARSER_DEPTH).try_with_sql(&text);
    let statements =
        parsed.and_then(|mut p| p.parse_statements()).map_err(|e| short_message(&e.to_string()))?;
    let mut walk = TreeWalk::new(functions);
    for statement in &statements {
        walk.visit_outermost(statement);
        let _ = statement.visit(&mut walk);
    }
    let TreeWalk { mut analysis, common_tables, .. } = walk;
    analysis.tables.retain(|t| !common_tables.contains(t));
    analysis.tables.sort();
    analysis.tables.dedup();
    analysis.features.keyed = !analysis.keys.is_empty();
    Ok(analysis)
}

/// The start of a parser error's first line.
fn short_message(text: &str) -> String {
    let text = text.strip_prefix("sql parser error: ").unwrap_or(text);
    text.lines().next().unwrap_or("").chars().take(120).collect()
}

/// The visitor that fills the analysis from the syntax tree.
struct TreeWalk<'f> {
    functions: &'f Functions,
    analysis: Analysis,
    /// The names of common table expressions.
    common_tables: HashSet<Box<str>>,
    /// Whether the statement is only explained, so that its changes of rows are not made.
    only_explained: bool,
    /// The nesting of statements, 1 in the outermost one.
    depth: usize,
}

impl<'f> TreeWalk<'f> {
    fn new(functions: &'f Functions) -> TreeWalk<'f> {
        let features = CostFeatures { limited: true, ..CostFeatures::default() };
        let analysis = Analysis { features, ..Analysis::new() };
        TreeWalk { functions, analysis, common_tables: HashSet::new(), only_explained: false, depth: 0 }
    }

    /// Analyzes what only the outermost statement determines: its keys, and whether its result is limited.
    fn visit_outermost(&mut self, statement: &Statement) {
        (self.only_explained, self.depth) = (false, 0);
        match statement {
            Statement::Query(query) => self.visit_outermost_query(query),
            Statement::Insert(insert) => self.collect_inserted_keys(insert),
            Statement::Update(Update { selection, .. }) | Statement::Delete(Delete { selection, .. }) => {
                self.collect_filter_keys(selection.as_ref());
            }
            Statement::Explain { analyze, options, statement, .. } => {
                let is_analyze = |o: &sqlparser::ast::UtilityOption| {
                    matches!(o.name.value.to_ascii_lowercase().as_str(), "analyze" | "analyse")
                };
                let runs = *analyze || options.iter().flatten().any(is_analyze);
                self.only_explained = !runs;
                if let Statement::Query(query) = &**statement {
                    self.visit_outermost_query(query);
                }
            }
            _ => {}
        }
    }

    /// Collects the keys of the outermost query, and whether its result is limited.
    fn visit_outermost_query(&mut self, query: &Query) {
        let mut body = &*query.body;
        let mut has_limit = query.limit_clause.is_some() || query.fetch.is_some();
        while let SetExpr::Query(inner) = body {
            has_limit |= inner.limit_clause.is_some() || inner.fetch.is_some();
            body = &inner.body;
        }
        let SetExpr::Select(select) = body else {
            self.analysis.features.limited &= has_limit || matches!(body, SetExpr::Values(_));
            return;
        };
        self.collect_filter_keys(select.selection.as_ref());
        let one_row = select.from.is_empty();
        self.analysis.features.limited &= has_limit || one_row;
    }

    /// Collects the columns that an INSERT of VALUES sets to a literal.
    fn collect_inserted_keys(&mut self, insert: &Insert) {
        let Some(SetExpr::Values(values)) = insert.source.as_ref().map(|q| &*q.body) else { return };
        for row in &values.rows {
            for (column, value) in insert.columns.iter().zip(&row.content) {
                let Some(column) = column.0.last().and_then(|p| p.as_ident()) else { continue };
                self.add_key(column, value);
            }
        }
    }

    /// Collects the equalities with literals that every row meets: those joined by AND at the top of a predicate.
    fn collect_filter_keys(&mut self, predicate: Option<&Expr>) {
        let mut pending: Vec<&Expr> = predicate.into_iter().collect();
        while let Some(expr) = pending.pop() {
            match expr {
                Expr::Nested(inner) => pending.push(inner),
                Expr::BinaryOp { left, op: BinaryOperator::And, right } => {
                    pending.extend([&**left, &**right])
                }
                Expr::BinaryOp { left, op: BinaryOperator::Eq, right } => {
                    for (column, value) in [(left, right), (right, left)] {
                        if let Some(column) = column_of(column) {
                            self.add_key(column, value);
                        }
                    }
                }
                Expr::In { expr, target: InTarget::List(list), negated: false, .. } => {
                    if let (Some(column), [value]) = (column_of(expr), list.as_slice()) {
                        self.add_key(column, value);
                    }
                }
                _ => {}
            }
        }
    }

    /// Adds a key if the value is a literal, maybe in parentheses, with a cast or a minus sign.
    fn add_key(&mut self, column: &Ident, value: &Expr) {
        let mut value = value;
        let mut negative = false;
        loop {
            value = match value {
                Expr::Nested(inner) => inner,
                Expr::Cast { expr, .. } => expr,
                Expr::UnaryOp { op: UnaryOperator::Minus, expr } if !negative => {
                    negative = true;
                    expr
                }
                _ => break,
            };
        }
        let Expr::Value(value) = value else { return };
        let literal_index = match &value.value {
            Value::SingleQuotedString(s) | Value::Number(s, _) => s.parse().ok(),
            _ => None,
        };
        if let Some(literal_index) = literal_index {
            self.analysis.keys.push(KeyLiteral {
                column: Box::from(column.value.as_str()),
                literal_index,
                negative,
            });
        }
    }

    /// Analyzes the call of a function.
    fn visit_call(&mut self, name: &ObjectName) {
        // The parser reads VALUES in parentheses as a call. PostgreSQL has no function of that name.
        if matches!(name.0.as_slice(), [p] if p.as_ident().is_some_and(|i| i.quote_style.is_none() && i.value == "values"))
        {
            return;
        }
        let parts: Option<Vec<&str>> =
            name.0.iter().map(|p| p.as_ident().map(|i| i.value.as_str())).collect();
        let kind = parts.as_deref().and_then(|p| self.functions.kind(p));
        match kind {
            Some(FunctionKind::SideEffectFree) => {}
            Some(FunctionKind::Aggregate) => self.analysis.features.aggregates += 1,
            Some(FunctionKind::Session) => {
                self.analysis.raise(Effect::Session, format!("{name}() belongs to a session"))
            }
            None => {
                let name: String = name.to_string().chars().take(80).collect();
                self.analysis.raise(Effect::Write, format!("{name}() is not known to be free of effects"));
            }
        }
    }

    fn add_table(&mut self, name: &ObjectName) {
        let parts: Vec<&str> = name.0.iter().filter_map(|p| p.as_ident()).map(|i| i.value.as_str()).collect();
        self.analysis.tables.push(parts.join(".").into());
    }
}

/// The column that an expression is, if it is one.
fn column_of(expr: &Expr) -> Option<&Ident> {
    match expr {
        Expr::Identifier(column) => Some(column),
        Expr::CompoundIdentifier(parts) => parts.last(),
        Expr::Nested(inner) => column_of(inner),
        _ => None,
    }
}

impl Visitor for TreeWalk<'_> {
    type Break = ();

    fn pre_visit_statement(&mut self, statement: &Statement) -> ControlFlow<()> {
        self.depth += 1;
        match statement {
            Statement::Query(_) | Statement::Explain { .. } => {}
            Statement::ShowVariable { .. } | Statement::ShowVariables { .. } if self.depth == 1 => {}
            Statement::Insert(Insert { table: TableObject::TableName(name), .. }) => {
                self.add_table(name);
                self.raise_change("INSERT");
            }
            Statement::Update(Update { table, .. }) => {
                self.add_target_tables(std::slice::from_ref(table));
                self.raise_change("UPDATE");
            }
            Statement::Delete(Delete { from, .. }) => {
                let (FromTable::WithFromKeyword(tables) | FromTable::WithoutKeyword(tables)) = from;
                self.add_target_tables(tables);
                self.raise_change("DELETE");
            }
            Statement::Merge { .. } => self.raise_change("MERGE"),
            _ => self.analysis.raise(Effect::Write, "it is not known to be a query"),
        }
        ControlFlow::Continue(())
    }

    fn post_visit_statement(&mut self, _: &Statement) -> ControlFlow<()> {
        self.depth -= 1;
        ControlFlow::Continue(())
    }

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        if let Some(with) = &query.with {
            self.common_tables.extend(with.cte_tables.iter().map(|c| Box::from(c.alias.name.value.as_str())));
        }
        if !query.locks.is_empty() {
            self.analysis.raise(Effect::Write, "it locks the rows that it reads");
        }
        let has_foreign_clause =
            query.for_clause.is_some() || query.settings.is_some() || query.format_clause.is_some();
        if has_foreign_clause || !query.pipe_operators.is_empty() {
            self.analysis.raise(Effect::Write, "it has a clause that PostgreSQL does not know");
        }
        let has_limit = matches!(&query.limit_clause, Some(LimitClause::LimitOffset { limit: Some(_), .. }));
        self.analysis.features.sorts += u16::from(query.order_by.is_some() && !has_limit);
        if let SetExpr::SetOperation { .. } = &*query.body {
            self.analysis.features.sorts += 1;
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_select(&mut self, select: &Select) -> ControlFlow<()> {
        if select.into.is_some() {
            self.analysis.raise(Effect::Write, "SELECT INTO creates a table");
        }
        let joins: usize = select.from.iter().map(|t| t.joins.len()).sum();
        let more_tables = select.from.len().saturating_sub(1);
        self.analysis.features.joins +=
            u16::try_from(joins + more_tables).unwrap_or(u16::MAX / 4).min(u16::MAX / 4);
        let grouped = !matches!(&select.group_by, GroupByExpr::Expressions(e, _) if e.is_empty());
        self.analysis.features.aggregates =
            self.analysis.features.aggregates.saturating_add(u16::from(grouped));
        let distinct = matches!(select.distinct, Some(Distinct::Distinct | Distinct::On(_)));
        self.analysis.features.sorts = self.analysis.features.sorts.saturating_add(u16::from(distinct));
        let reads_table =
            select.from.iter().any(|t| matches!(t.relation, TableFactor::Table { args: None, .. }));
        if reads_table && select.selection.is_none() {
            self.analysis.features.unfiltered = self.analysis.features.unfiltered.saturating_add(1);
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_table_factor(&mut self, factor: &TableFactor) -> ControlFlow<()> {
        match factor {
            TableFactor::Table { name, args: None, .. } => self.add_table(name),
            TableFactor::Table { name, args: Some(_), .. } | TableFactor::Function { name, .. } => {
                self.visit_call(name);
            }
            TableFactor::Derived { .. } => {
                self.analysis.features.subqueries = self.analysis.features.subqueries.saturating_add(1);
            }
            TableFactor::NestedJoin { .. } | TableFactor::UNNEST { .. } => {}
            TableFactor::TableFunction { .. } => {}
            _ => self.analysis.raise(Effect::Write, "it reads from what is not known"),
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<()> {
        match expr {
            Expr::Function(function) => self.visit_call(&function.name),
            Expr::Subquery(_) | Expr::Exists { .. } => {
                self.analysis.features.subqueries = self.analysis.features.subqueries.saturating_add(1);
            }
            Expr::BinaryOp { op: BinaryOperator::PGCustomBinaryOperator(_), .. } => {
                self.analysis.raise(Effect::Write, "OPERATOR() may name anybody's");
            }
            Expr::BinaryOp { op: BinaryOperator::Custom(_) | BinaryOperator::Spaceship, .. } => {
                self.analysis.raise(Effect::Write, "it has an operator that is not known");
            }
            Expr::Identifier(_)
            | Expr::CompoundIdentifier(_)
            | Expr::CompoundFieldAccess { .. }
            | Expr::JsonAccess { .. }
            | Expr::IsFalse(_)
            | Expr::IsNotFalse(_)
            | Expr::IsTrue(_)
            | Expr::IsNotTrue(_)
            | Expr::IsNull(_)
            | Expr::IsNotNull(_)
            | Expr::IsUnknown(_)
            | Expr::IsNotUnknown(_)
            | Expr::IsDistinctFrom(..)
            | Expr::IsNotDistinctFrom(..)
            | Expr::IsJson { .. }
            | Expr::IsNormalized { .. }
            | Expr::In { .. }
            | Expr::Between { .. }
            | Expr::BinaryOp { .. }
            | Expr::Like { .. }
            | Expr::ILike { .. }
            | Expr::SimilarTo { .. }
            | Expr::AnyOp { .. }
            | Expr::AllOp { .. }
            | Expr::UnaryOp { .. }
            | Expr::Cast { .. }
            | Expr::AtTimeZone { .. }
            | Expr::Extract { .. }
            | Expr::Ceil { .. }
            | Expr::Floor { .. }
            | Expr::Position { .. }
            | Expr::Substring { .. }
            | Expr::Trim { .. }
            | Expr::Overlay { .. }
            | Expr::Collate { .. }
            | Expr::Nested(_)
            | Expr::Value(_)
            | Expr::TypedString(_)
            | Expr::Case { .. }
            | Expr::GroupingSets(_)
            | Expr::Cube(_)
            | Expr::Rollup(_)
            | Expr::Tuple(_)
            | Expr::Array(_)
            | Expr::Interval(_)
            | Expr::Wildcard(_)
            | Expr::QualifiedWildcard(..) => {}
            _ => self.analysis.raise(Effect::Write, "it has an expression that PostgreSQL does not know"),
        }
        ControlFlow::Continue(())
    }
}

impl TreeWalk<'_> {
    /// Makes the statement a write because of an INSERT, UPDATE, DELETE or MERGE, unless it is only explained.
    fn raise_change(&mut self, keyword: &'static str) {
        if !self.only_explained {
            let reason = if self.depth > 1 { "stands within the statement" } else { "changes rows" };
            self.analysis.raise(Effect::Write, format!("{keyword} {reason}"));
        }
    }

    /// Adds the tables that an UPDATE or DELETE changes.
    fn add_target_tables(&mut self, tables: &[TableWithJoins]) {
        for t in tables {
            if let TableFactor::Table { name, .. } = &t.relation {
                self.add_table(name);
            }
        }
    }
}
