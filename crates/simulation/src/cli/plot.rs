//! Plots figures over time as SVG files.

use super::error::{CommandError, DrawingError};
use plotters::prelude::{
    BLACK, ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement,
    SVGBackend, WHITE,
};
use std::path::Path;

const SIZE_PIXELS: (u32, u32) = (800, 320);
const FONT_SIZE_PIXELS: i32 = 16;
const LEGEND_LINE_PIXELS: i32 = 16;
/// The value axis ends at this multiple of the largest value, or of 1 if that is larger.
const AXIS_HEADROOM: f64 = 1.05;

/// A time in seconds, and the figure at that time.
pub(crate) type Point = (f64, f64);

/// One figure over time.
pub(crate) struct Curve {
    pub(crate) label: &'static str,
    /// Times in seconds, and the figure at each of them.
    pub(crate) points: Vec<Point>,
}

/// A plot of one or more curves.
pub(crate) struct Plot {
    pub(crate) title: &'static str,
    pub(crate) seconds: f64,
    pub(crate) curves: Vec<Curve>,
}

impl Plot {
    /// Writes the plot to a file.
    pub(crate) fn write(&self, path: &Path) -> Result<(), CommandError> {
        self.draw(path).map_err(|source| CommandError::Plot {
            path: path.into(),
            source,
        })
    }

    fn max_value(&self) -> f64 {
        let points = self.curves.iter().flat_map(|curve| &curve.points);
        points.map(|point| point.1).fold(1.0, f64::max) * AXIS_HEADROOM
    }

    fn draw(&self, path: &Path) -> Result<(), DrawingError> {
        let area = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(self.title, ("sans-serif", FONT_SIZE_PIXELS))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(44)
            .build_cartesian_2d(0.0..self.seconds, 0.0..self.max_value())?;
        chart.configure_mesh().x_desc("seconds").draw()?;
        for (index, curve) in self.curves.iter().enumerate() {
            let colour = Palette99::pick(index).to_rgba();
            let points = curve.points.iter().copied();
            let line = LineSeries::new(points, colour.stroke_width(2));
            let legend =
                move |(x, y)| PathElement::new([(x, y), (x + LEGEND_LINE_PIXELS, y)], colour);
            chart.draw_series(line)?.label(curve.label).legend(legend);
        }
        chart.configure_series_labels().border_style(BLACK).draw()?;
        area.present()
    }
}
