//! The command `report burn`.

use std::path;

use plotters::prelude::{
    BLACK, ChartBuilder, Color as _, IntoDrawingArea as _, IntoLogRange as _, LineSeries,
    Palette as _, Palette99, PathElement, SVGBackend, WHITE,
};

use crate::operator::Error;
use crate::operator::command::{Command, Options, Output};

/// Width and height of the plot in pixels.
const PLOT_SIZE: (u32, u32) = (900, 500);

pub const BURN: Command = Command {
    name: "report burn",
    help: "\
Print how fast each workspace uses up its error budget

Usage: damaskdrift report burn [OPTIONS]

A burn rate of 1 uses up the budget exactly. An alert stands where both windows of a pair exceed
the limit of the pair.

Options:
      --svg FILE          Also draw the burn rates by window length into FILE
",
    arguments: &[],
    options: &["svg"],
    run: report_burn,
};

/// Burn rates of one workspace and measure, plotted as one line.
struct Series {
    name: String,
    /// Window length in minutes and burn rate, sorted by window length.
    points: Vec<(f64, f64)>,
}

fn report_burn(options: &Options) -> Result<Output, Error> {
    let response = options.client()?.get("/v1/burn")?;
    let mut text = String::new();
    let mut series = Vec::new();
    for row in response["rows"].as_array().map(Vec::as_slice).unwrap_or_default() {
        let field = |key: &str| row[key].as_str().unwrap_or("?").to_owned();
        let name = format!("{} {}", field("workspace"), field("measure"));
        let mut points = Vec::new();
        text.push_str(&format!("{name} (objective {}):", row["objective"]));
        for burn in row["burns"].as_array().map(Vec::as_slice).unwrap_or_default() {
            let number = |value: &serde_json::Value| value.as_f64().unwrap_or_default();
            let minutes = |key: &str| number(&burn["pair"][key]) / 60_000.0;
            let (short, long) = (number(&burn["short"]), number(&burn["long"]));
            let alert = if burn["is_alert"] == true { " ALERT" } else { "" };
            text.push_str(&format!(
                "  {}/{}: {short:.2}/{long:.2} of {}{alert}",
                format_window(minutes("short")),
                format_window(minutes("long")),
                burn["pair"]["limit"]
            ));
            points.extend([(minutes("short"), short), (minutes("long"), long)]);
        }
        text.push('\n');
        points.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        series.push(Series { name, points });
    }
    if series.is_empty() {
        text.push_str("no requests counted\n");
    }
    let missing = response["missing"].as_array().map(Vec::as_slice).unwrap_or_default();
    if !missing.is_empty() {
        let names: Vec<_> = missing.iter().filter_map(serde_json::Value::as_str).collect();
        text.push_str(&format!("not counted, no answer: {}\n", names.join(", ")));
    }
    if let Some(file) = options.value("svg") {
        plot(path::Path::new(file), &series)?;
        text.push_str(&format!("plot written to {file}\n"));
    }
    Ok(Output::new(response, text))
}

fn format_window(minutes: f64) -> String {
    if minutes >= 1_440.0 {
        return format!("{}d", minutes / 1_440.0);
    }
    if minutes >= 60.0 { format!("{}h", minutes / 60.0) } else { format!("{minutes}m") }
}

fn plot(file: &path::Path, series: &[Series]) -> Result<(), Error> {
    let plot_error = |error: &dyn std::fmt::Display| Error::Plot(error.to_string());
    let rates = series.iter().flat_map(|line| line.points.iter().map(|(_, rate)| *rate));
    let top = rates.fold(15.0, f64::max) * 1.1;
    let area = SVGBackend::new(file, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|error| plot_error(&error))?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Burn rate by window length", ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d((5.0..4_320.0).log_scale(), 0.0..top)
        .map_err(|error| plot_error(&error))?;
    chart
        .configure_mesh()
        .x_desc("window, minutes")
        .y_desc("burn rate")
        .draw()
        .map_err(|error| plot_error(&error))?;
    for (i, line) in series.iter().enumerate() {
        let colour = Palette99::pick(i).to_rgba();
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), &colour))
            .map_err(|error| plot_error(&error))?
            .label(line.name.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .draw()
        .map_err(|error| plot_error(&error))?;
    area.present().map_err(|error| plot_error(&error))
}
