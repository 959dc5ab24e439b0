package capacity

import (
	"fmt"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"snowflow/internal/rehearse/sweep"
)

// PlottedMetrics lists the metrics that are plotted, by dimension.
var PlottedMetrics = map[string][]string{
	"carriers": {"sorter primary processor", "sorter primary bytes", "postmaster primary processor", "carrier processor", "carrier memory", "take-up, slowest carrier"},
	"routes":   {"carrier bytes", "take-up, slowest carrier"},
	"services": {"carrier bytes"},
	"calls":    {"sorter primary processor"},
	"restarts": {"carrier bytes"},
}

// PlotFile returns the name of the file with a metric's plot along a dimension.
func PlotFile(dimension, metric string) string {
	return strings.NewReplacer(" ", "-", ",", "").Replace(dimension+"-"+metric) + ".svg"
}

// WritePlots plots each metric of PlottedMetrics, with its runs and the fitted line, into files in a folder.
func WritePlots(points []sweep.Point, folder string) error {
	for name, metrics := range PlottedMetrics {
		dimension, err := sweep.FindDimension(name)
		if err != nil {
			return err
		}
		for _, metricName := range metrics {
			metric, err := sweep.FindMetric(metricName)
			if err != nil {
				return err
			}
			if err := drawPlot(points, dimension, metric, filepath.Join(folder, PlotFile(name, metricName))); err != nil {
				return fmt.Errorf("%s along %s: %w", metricName, name, err)
			}
		}
	}
	return nil
}

// drawPlot writes a metric's plot along a dimension as an SVG file.
func drawPlot(points []sweep.Point, dimension sweep.Dimension, metric sweep.Metric, path string) error {
	values, measured := Samples(points, dimension, metric)
	line, fitted := Fit(values, measured)
	if !fitted {
		return fmt.Errorf("too few runs are recorded")
	}
	runs := make(plotter.XYs, len(values))
	for index := range values {
		runs[index].X, runs[index].Y = values[index], measured[index]
	}
	chart := plot.New()
	chart.Title.Text = fmt.Sprintf("%s: %s ± %s %s for a %s", metric.Name, FormatNumber(line.Slope), FormatNumber(line.SlopeError), metric.Unit, dimension.Unit)
	chart.X.Label.Text, chart.Y.Label.Text, chart.Y.Min = dimension.Name, metric.Unit, 0
	scatter, err := plotter.NewScatter(runs)
	if err != nil {
		return err
	}
	chart.Add(scatter, plotter.NewFunction(line.At), plotter.NewGrid())
	return chart.Save(14*vg.Centimeter, 9*vg.Centimeter, path)
}
