// Package capacity extrapolates recorded sweeps to the target size of the design and generates the tables and plots of
// docs/CAPACITY.md. It fits a straight line to each metric along each dimension and compares the extrapolated values with their bounds.
package capacity

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"

	"snowflow/internal/rehearse/sweep"
)

// Line is a straight line fitted by least squares.
type Line struct {
	Intercept, Slope float64
	SlopeError       float64 // standard error of the slope, with Points-2 degrees of freedom
	Points           int
	MaxX             float64 // highest x value of the points
}

// At returns the line's value at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Significant reports whether the slope exceeds twice its standard error.
func (l Line) Significant() bool { return math.Abs(l.Slope) > 2*l.SlopeError }

// Increasing reports whether the slope is significant and positive.
func (l Line) Increasing() bool { return l.Significant() && l.Slope > 0 }

// Fit fits a line to the points with x in values and y in measured. It reports false unless there are at least three points and two
// different x values.
func Fit(values, measured []float64) (Line, bool) {
	if len(values) < 3 || slices.Min(values) == slices.Max(values) {
		return Line{}, false
	}
	intercept, slope := stat.LinearRegression(values, measured, nil, false)
	residualSquares := 0.0
	for index, value := range values {
		residual := measured[index] - intercept - slope*value
		residualSquares += residual * residual
	}
	mean, deviationSquares := stat.Mean(values, nil), 0.0
	for _, value := range values {
		deviationSquares += (value - mean) * (value - mean)
	}
	return Line{Intercept: intercept, Slope: slope, SlopeError: math.Sqrt(residualSquares / float64(len(values)-2) / deviationSquares), Points: len(values), MaxX: slices.Max(values)}, true
}

// FitAlong fits a line to a metric along a dimension. It reports false if too few runs are recorded.
func FitAlong(points []sweep.Point, dimension sweep.Dimension, metric sweep.Metric) (Line, bool) {
	values, measured := Samples(points, dimension, metric)
	return Fit(values, measured)
}

// Samples returns the points to which a metric's line is fitted, as x values and measured values. It returns none if all runs have the
// same size: along a dimension counted per window, their x values differ only by the windows' lengths and determine no slope.
func Samples(points []sweep.Point, dimension sweep.Dimension, metric sweep.Metric) (values, measured []float64) {
	sizes := map[sweep.Size]bool{}
	for _, run := range sweep.RunsAlong(points, dimension) {
		if value, known := metric.Measure(run); known {
			values, measured = append(values, dimension.Coordinate(run)), append(measured, value)
			sizes[run.Size] = true
		}
	}
	if len(sizes) < 2 {
		return nil, nil
	}
	return values, measured
}
