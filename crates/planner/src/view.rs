//! The terminal view: the utilization of each resource at a multiple of the load that the user changes by keys. The
//! module calls the answers of `sillfold_plan`. It must restore the terminal when the view ends, also after an error.

use ratatui::Frame;
use ratatui::backend::TestBackend;
use ratatui::crossterm::event::{self, Event, KeyCode, KeyEventKind};
use ratatui::layout::{Constraint, Layout};
use ratatui::style::{Color, Style};
use ratatui::widgets::{Block, Gauge, Paragraph};
use sillfold_plan::answers::{saturate, what_if};
use sillfold_plan::fleet::{Fleet, Load};
use sillfold_plan::model::Scenario;
use std::io;

/// The contents of the view.
struct ViewState {
    /// The multiple of the load.
    multiple: f64,
    /// The name and the utilization of each resource.
    bars: Vec<(String, f64)>,
    text: String,
}

/// Computes the contents of the view at a multiple of the load. `limits` holds the name of each resource and the
/// multiple at which it saturates.
fn view_state(
    fleet: &Fleet, load: &Load, scenario: &Scenario, limits: &[(String, f64)], multiple: f64,
) -> ViewState {
    let scenario_at_multiple = Scenario { load: scenario.load * multiple, ..scenario.clone() };
    let found = what_if(fleet, load, &scenario_at_multiple);
    let bars = limits.iter().map(|(name, limit)| (name.clone(), multiple / limit)).collect();
    let classes: Vec<String> = found.classes.iter().map(|(n, s)| format!("{n} {:.1} %", 100.0 * s)).collect();
    let text = format!(
        "served in time: {:.1} % by worth; least by class: {}\ntries for each first one: {:.2}; replicas too far behind for {:.1} % of bounded reads",
        100.0 * found.worth.value,
        classes.join(", "),
        found.amplification,
        100.0 * found.out_of_bound
    );
    ViewState { multiple, bars, text }
}

fn draw(frame: &mut Frame, state: &ViewState) {
    let mut rows = vec![Constraint::Length(1)];
    rows.extend(state.bars.iter().map(|_| Constraint::Length(3)));
    rows.push(Constraint::Min(3));
    let areas = Layout::vertical(rows).split(frame.area());
    let title = format!("{:.2} times the load    left, right: change it    q: end", state.multiple);
    frame.render_widget(Paragraph::new(title), areas[0]);
    for (i, (name, busy)) in state.bars.iter().enumerate() {
        let color = match busy {
            b if *b >= 1.0 => Color::Red,
            b if *b >= 0.8 => Color::Yellow,
            _ => Color::Green,
        };
        let gauge = Gauge::default()
            .block(Block::bordered().title(name.as_str()))
            .gauge_style(Style::default().fg(color))
            .ratio(busy.clamp(0.0, 1.0))
            .label(format!("{:.0} %", 100.0 * busy));
        frame.render_widget(gauge, areas[i + 1]);
    }
    frame.render_widget(Paragraph::new(state.text.as_str()), areas[state.bars.len() + 1]);
}

/// Shows the view until the user quits; with `once`, prints it a single time.
pub fn run(fleet: &Fleet, load: &Load, scenario: &Scenario, once: bool) -> io::Result<()> {
    let limits: Vec<(String, f64)> = saturate(fleet, load, 0.95, scenario)
        .limits
        .into_iter()
        .map(|l| (format!("{} of {}", l.resource, l.of), l.times.value))
        .collect();
    let mut multiple = 1.0;
    if once {
        let mut terminal = ratatui::Terminal::new(TestBackend::new(100, 18))?;
        let state = view_state(fleet, load, scenario, &limits, multiple);
        terminal.draw(|f| draw(f, &state))?;
        let buffer = terminal.backend().buffer();
        for row in buffer.content().chunks(100) {
            let line: String = row.iter().map(|c| c.symbol()).collect();
            println!("{}", line.trim_end());
        }
        return Ok(());
    }
    let mut terminal = ratatui::try_init()?;
    let ended = loop {
        let state = view_state(fleet, load, scenario, &limits, multiple);
        if let Err(e) = terminal.draw(|f| draw(f, &state)) {
            break Err(e);
        }
        match event::read() {
            Ok(Event::Key(key)) if key.kind == KeyEventKind::Press => match key.code {
                KeyCode::Char('q') | KeyCode::Esc => break Ok(()),
                KeyCode::Left => multiple = (multiple - 0.05f64).max(0.05),
                KeyCode::Right => multiple += 0.05,
                _ => {}
            },
            Ok(_) => {}
            Err(e) => break Err(e),
        }
    };
    ratatui::restore();
    ended
}
