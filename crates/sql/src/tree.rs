//! The walk over the syntax tree: what a shape does, its tables, its keys and what shows its cost. It owns
//! the use of the parser. It must never recurse deeper than the bounds of the caller allow, and never take
//! a node that it does not know for a harmless one.

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
use std::ops::ControlFlow;

/// Levels of expressions and queries that the parser may go down.
const RECURSION: usize = 60;

/// The shape as a text to parse, each placeholder with its ordinal, so that the tree names its literals.
fn numbered(shape: &str) -> String {
    use std::fmt::Write;
    let (mut out, mut slot, mut joined) = (String::with_capacity(shape.len() + 64), 0, true);
    let mut before = ";";
    for (token, text) in tokens(shape) {
        // The parser does not know TABLE as a statement, only as a part of one.
        let table = token == Token::Word && text == "table" && [";", "(", "union", "all"].contains(&before);
        let text = if table { "select * from" } else { text };
        before = text;
        let dot = token == Token::Dot;
        if !joined && !dot {
            out.push(' ');
        }
        joined = dot;
        // Writing to a text does not fail.
        let _ = match token {
            Token::Plain(_) => write!(out, "'{slot}'"),
            Token::Bits(_) => write!(out, "B'0'"),
            Token::Number => write!(out, "{slot}"),
            _ => out.write_str(text),
        };
        slot += usize::from(matches!(token, Token::Plain(_) | Token::Bits(_) | Token::Number));
    }
    out
}

/// Parses a shape and walks over its syntax tree. The error says why the shape does not parse.
pub(crate) fn analyze(shape: &str, functions: &Functions) -> Result<Analysis, String> {
    let text = numbered(shape);
    let dialect = PostgreSqlDialect {};
    let parsed = Parser::new(&dialect).with_recursion_limit(RECURSION).try_with_sql(&text);
    let statements = parsed.and_then(|mut p| p.parse_statements()).map_err(|e| short(&e.to_string()))?;
    let mut walk = Walk::new(functions);
    for statement in &statements {
        walk.outermost(statement);
        let _ = statement.visit(&mut walk);
    }
    let Walk { mut analysis, common, .. } = walk;
    analysis.tables.retain(|t| !common.contains(t));
    analysis.tables.sort();
    analysis.tables.dedup();
    analysis.features.keyed = !analysis.keys.is_empty();
    Ok(analysis)
}

/// The beginning of a message, without what follows its first line.
fn short(text: &str) -> String {
    let text = text.strip_prefix("sql parser error: ").unwrap_or(text);
    text.lines().next().unwrap_or("").chars().take(120).collect()
}

/// The visitor of the syntax tree.
struct Walk<'f> {
    functions: &'f Functions,
    analysis: Analysis,
    /// Names of common tables.
    common: Vec<Box<str>>,
    /// Only the plan is asked for: changes of rows are not made.
    explained: bool,
    /// Statements within the present one.
    depth: usize,
}

impl<'f> Walk<'f> {
    fn new(functions: &'f Functions) -> Walk<'f> {
        let features = CostFeatures { limited: true, ..CostFeatures::default() };
        let analysis = Analysis { features, ..Analysis::new() };
        Walk { functions, analysis, common: Vec::new(), explained: false, depth: 0 }
    }

    /// What only the outermost statement tells: its kind, its keys, whether its result is bounded.
    fn outermost(&mut self, statement: &Statement) {
        (self.explained, self.depth) = (false, 0);
        match statement {
            Statement::Query(query) => self.outermost_query(query),
            Statement::Insert(insert) => self.inserted(insert),
            Statement::Update(Update { selection, .. }) | Statement::Delete(Delete { selection, .. }) => {
                self.filtered(selection.as_ref());
            }
            Statement::Explain { analyze, options, statement, .. } => {
                let option = |o: &sqlparser::ast::UtilityOption| {
                    matches!(o.name.value.to_ascii_lowercase().as_str(), "analyze" | "analyse")
                };
                let run = *analyze || options.iter().flatten().any(option);
                self.explained = !run;
                if let Statement::Query(query) = &**statement {
                    self.outermost_query(query);
                }
            }
            _ => {}
        }
    }

    fn outermost_query(&mut self, query: &Query) {
        let mut body = &*query.body;
        let mut limit = query.limit_clause.is_some() || query.fetch.is_some();
        while let SetExpr::Query(inner) = body {
            limit |= inner.limit_clause.is_some() || inner.fetch.is_some();
            body = &inner.body;
        }
        let SetExpr::Select(select) = body else {
            self.analysis.features.limited &= limit || matches!(body, SetExpr::Values(_));
            return;
        };
        self.filtered(select.selection.as_ref());
        let one_row = select.from.is_empty();
        self.analysis.features.limited &= limit || one_row;
    }

    fn inserted(&mut self, insert: &Insert) {
        let Some(SetExpr::Values(values)) = insert.source.as_ref().map(|q| &*q.body) else { return };
        for row in &values.rows {
            for (column, value) in insert.columns.iter().zip(&row.content) {
                let Some(column) = column.0.last().and_then(|p| p.as_ident()) else { continue };
                self.key(column, value);
            }
        }
    }

    /// Equalities that hold of every row: those that AND joins at the top of a predicate.
    fn filtered(&mut self, predicate: Option<&Expr>) {
        let mut open: Vec<&Expr> = predicate.into_iter().collect();
        while let Some(e) = open.pop() {
            match e {
                Expr::Nested(inner) => open.push(inner),
                Expr::BinaryOp { left, op: BinaryOperator::And, right } => open.extend([&**left, &**right]),
                Expr::BinaryOp { left, op: BinaryOperator::Eq, right } => {
                    for (column, value) in [(left, right), (right, left)] {
                        if let Some(column) = column_of(column) {
                            self.key(column, value);
                        }
                    }
                }
                Expr::In { expr, target: InTarget::List(list), negated: false, .. } => {
                    if let (Some(column), [value]) = (column_of(expr), list.as_slice()) {
                        self.key(column, value);
                    }
                }
                _ => {}
            }
        }
    }

    fn key(&mut self, column: &Ident, value: &Expr) {
        let (mut value, mut negative) = (value, false);
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

    fn called(&mut self, name: &ObjectName) {
        // The parser takes a VALUES in parentheses for a call; PostgreSQL has no function of that name.
        if matches!(name.0.as_slice(), [p] if p.as_ident().is_some_and(|i| i.quote_style.is_none() && i.value == "values"))
        {
            return;
        }
        let parts: Option<Vec<&str>> =
            name.0.iter().map(|p| p.as_ident().map(|i| i.value.as_str())).collect();
        let known = parts.as_deref().and_then(|p| self.functions.kind(p));
        match known {
            Some(FunctionKind::SideEffectFree) => {}
            Some(FunctionKind::Aggregate) => self.analysis.features.aggregates += 1,
            Some(FunctionKind::Session) => {
                self.analysis.raise(Effect::Session, format!("{name}() belongs to a session"))
            }
            None => {
                let what: String = name.to_string().chars().take(80).collect();
                self.analysis.raise(Effect::Write, format!("{what}() is not known to be free of effects"));
            }
        }
    }

    fn table(&mut self, name: &ObjectName) {
        let parts: Vec<&str> = name.0.iter().filter_map(|p| p.as_ident()).map(|i| i.value.as_str()).collect();
        self.analysis.tables.push(parts.join(".").into());
    }
}

fn column_of(e: &Expr) -> Option<&Ident> {
    match e {
        Expr::Identifier(column) => Some(column),
        Expr::CompoundIdentifier(parts) => parts.last(),
        Expr::Nested(inner) => column_of(inner),
        _ => None,
    }
}

impl Visitor for Walk<'_> {
    type Break = ();

    fn pre_visit_statement(&mut self, statement: &Statement) -> ControlFlow<()> {
        self.depth += 1;
        match statement {
            Statement::Query(_) | Statement::Explain { .. } => {}
            Statement::ShowVariable { .. } | Statement::ShowVariables { .. } if self.depth == 1 => {}
            Statement::Insert(Insert { table: TableObject::TableName(name), .. }) => {
                self.table(name);
                self.changes("INSERT");
            }
            Statement::Update(Update { table, .. }) => {
                self.target(std::slice::from_ref(table));
                self.changes("UPDATE");
            }
            Statement::Delete(Delete { from, .. }) => {
                let (FromTable::WithFromKeyword(tables) | FromTable::WithoutKeyword(tables)) = from;
                self.target(tables);
                self.changes("DELETE");
            }
            Statement::Merge { .. } => self.changes("MERGE"),
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
            self.common.extend(with.cte_tables.iter().map(|c| Box::from(c.alias.name.value.as_str())));
        }
        if !query.locks.is_empty() {
            self.analysis.raise(Effect::Write, "it locks the rows that it reads");
        }
        let foreign = query.for_clause.is_some() || query.settings.is_some() || query.format_clause.is_some();
        if foreign || !query.pipe_operators.is_empty() {
            self.analysis.raise(Effect::Write, "it has a clause that PostgreSQL does not know");
        }
        let limit = matches!(&query.limit_clause, Some(LimitClause::LimitOffset { limit: Some(_), .. }));
        self.analysis.features.sorts += u16::from(query.order_by.is_some() && !limit);
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
        let more = select.from.len().saturating_sub(1);
        self.analysis.features.joins += u16::try_from(joins + more).unwrap_or(u16::MAX / 4).min(u16::MAX / 4);
        let grouped = !matches!(&select.group_by, GroupByExpr::Expressions(e, _) if e.is_empty());
        self.analysis.features.aggregates =
            self.analysis.features.aggregates.saturating_add(u16::from(grouped));
        let distinct = matches!(select.distinct, Some(Distinct::Distinct | Distinct::On(_)));
        self.analysis.features.sorts = self.analysis.features.sorts.saturating_add(u16::from(distinct));
        let reads = select.from.iter().any(|t| matches!(t.relation, TableFactor::Table { args: None, .. }));
        if reads && select.selection.is_none() {
            self.analysis.features.unfiltered = self.analysis.features.unfiltered.saturating_add(1);
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_table_factor(&mut self, factor: &TableFactor) -> ControlFlow<()> {
        match factor {
            TableFactor::Table { name, args: None, .. } => self.table(name),
            TableFactor::Table { name, args: Some(_), .. } | TableFactor::Function { name, .. } => {
                self.called(name);
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

    fn pre_visit_expr(&mut self, e: &Expr) -> ControlFlow<()> {
        match e {
            Expr::Function(f) => self.called(&f.name),
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

impl Walk<'_> {
    fn changes(&mut self, what: &'static str) {
        if !self.explained {
            let place = if self.depth > 1 { "stands within the statement" } else { "changes rows" };
            self.analysis.raise(Effect::Write, format!("{what} {place}"));
        }
    }

    fn target(&mut self, tables: &[TableWithJoins]) {
        for t in tables {
            if let TableFactor::Table { name, .. } = &t.relation {
                self.table(name);
            }
        }
    }
}
