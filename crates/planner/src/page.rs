//! An HTML page with two plots: the share of each class served in time as the load grows, and the utilization of each
//! resource. The module calls the answers of `sillfold_plan`. The page must be self-contained: no scripts, no other
//! files.

use plotters::prelude::*;
use sillfold_plan::answers::{saturate, what_if};
use sillfold_plan::fleet::{Fleet, Load};
use sillfold_plan::model::Scenario;

/// Width and height of a plot, in pixels.
const PLOT_SIZE_PX: (u32, u32) = (820, 360);
/// The number of points of each line.
const POINTS: u32 = 48;

/// Escapes text for HTML.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// A line of a plot: its name and its points.
type Line = (String, Vec<(f64, f64)>);

/// Draws lines as SVG. `max` holds the upper ends of both axes; `marker` is the place of a vertical line.
fn plot(
    title: &str, x_label: &str, max: (f64, f64), lines: &[Line], marker: Option<f64>,
) -> Result<String, String> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, PLOT_SIZE_PX).into_drawing_area();
        let failed = |e: &dyn std::fmt::Display| format!("a plot: {e}");
        root.fill(&WHITE).map_err(|e| failed(&e))?;
        let mut chart = ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(36)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..max.0, 0.0..max.1)
            .map_err(|e| failed(&e))?;
        chart.configure_mesh().x_desc(x_label).draw().map_err(|e| failed(&e))?;
        for (i, (name, points)) in lines.iter().enumerate() {
            let color = Palette99::pick(i).to_rgba();
            chart
                .draw_series(LineSeries::new(points.iter().copied(), color.stroke_width(2)))
                .map_err(|e| failed(&e))?
                .label(name)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], color.stroke_width(2)));
        }
        if let Some(x) = marker {
            let line = PathElement::new(vec![(x, 0.0), (x, max.1)], BLACK.mix(0.5));
            chart.draw_series(std::iter::once(line)).map_err(|e| failed(&e))?;
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .position(SeriesLabelPosition::LowerLeft)
            .draw()
            .map_err(|e| failed(&e))?;
        root.present().map_err(|e| failed(&e))?;
    }
    Ok(svg)
}

/// Renders the page.
pub fn page(
    fleet: &Fleet, load: &Load, scenario: &Scenario, goal: f64, notes: &[String],
) -> Result<String, String> {
    let answer = saturate(fleet, load, goal, scenario);
    let max_multiple = (answer.limits.first().map_or(1.0, |l| l.times.value) * 1.6).clamp(0.1, 1_000.0);
    let mut classes: Vec<Line> = Vec::new();
    let mut amplification: Line = ("tries for each first one, a tenth".into(), Vec::new());
    for k in 1..=POINTS {
        let multiple = max_multiple * f64::from(k) / f64::from(POINTS);
        let point = Scenario { load: scenario.load * multiple, ..scenario.clone() };
        let found = what_if(fleet, load, &point);
        for (name, share) in found.classes {
            match classes.iter_mut().find(|c| c.0 == name) {
                Some(c) => c.1.push((multiple, share)),
                None => classes.push((name, vec![(multiple, share)])),
            }
        }
        amplification.1.push((multiple, found.amplification / 10.0));
    }
    classes.push(amplification);
    let goal_at = Some(answer.goal.value);
    let served = plot(
        "Served in time, in the group where it is least",
        "times the load",
        (max_multiple, 1.05),
        &classes,
        goal_at,
    )?;
    let utilization_lines: Vec<Line> = answer
        .limits
        .iter()
        .map(|l| {
            (
                format!("{} of {}", l.resource, l.of),
                vec![(0.0, 0.0), (max_multiple, max_multiple / l.times.value)],
            )
        })
        .collect();
    let busy = plot(
        "How busy each resource is",
        "times the load",
        (max_multiple, 1.6),
        &utilization_lines,
        Some(answer.limits.first().map_or(1.0, |l| l.times.value)),
    )?;
    let row = |l: &sillfold_plan::answers::Limit| {
        let t = &l.times;
        let name = format!("{} of {}", l.resource, l.of);
        format!(
            "<tr><td>{}</td><td>{:.2}</td><td>{:.2} to {:.2}</td><td>{}</td></tr>",
            escape(&name),
            t.value,
            t.low.max(0.0),
            t.high,
            escape(&t.hangs_on)
        )
    };
    let rows: String = answer.limits.iter().map(row).collect();
    let notes: String = notes.iter().map(|n| format!("<p>Note: {}</p>", escape(n))).collect();
    let trap = match answer.trap {
        Some(at) => {
            format!("From {at:.2} times on there is a worse state which the fleet does not leave by itself.")
        }
        None => "The fleet has one state at each load: it comes back by itself.".into(),
    };
    Ok(format!(
        "<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Capacity</title><style>\
         body{{font-family:sans-serif;max-width:860px;margin:2em auto}}td,th{{padding:.2em .8em;text-align:left}}\
         </style></head><body><h1>Capacity</h1><p>{} hosts in {} groups. The goal, {:.0} % of each class in time, is \
         missed at {:.2} times the load ({:.2} to {:.2}), first in group {}. {trap}</p>{notes}<table><tr><th>What \
         saturates</th><th>Times the load</th><th>Interval</th><th>Hangs most on</th></tr>{rows}</table>{served}{busy}\
         </body></html>\n",
        fleet.hosts(),
        fleet.groups.len(),
        100.0 * goal,
        answer.goal.value,
        answer.goal.low.max(0.0),
        answer.goal.high,
        answer.goal_group
    ))
}
