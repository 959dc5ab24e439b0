// Package capacity works out what the target size needs from recorded sweeps, and writes it into the page on capacity.
package capacity

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"

	"snowflow/internal/rehearse/sweep"
)

// Line is a straight line by least squares.
// Invariants: Error is the slope's standard error, from what is left over with Points-2 degrees of freedom; Most is the
// highest value that it was drawn through.
type Line struct {
	Intercept, Slope, SlopeError float64
	Points                       int
	MaxX                         float64
}

// At is the line's value.
func (l Line) At(value float64) float64 { return l.Intercept + l.Slope*value }

// Significant tells whether the slope is beyond twice its standard error.
func (l Line) Significant() bool { return math.Abs(l.Slope) > 2*l.SlopeError }

// Increasing tells whether it rises beyond doubt.
func (l Line) Increasing() bool { return l.Significant() && l.Slope > 0 }

// Fit draws the line. There must be three points at least, at two values at least.
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

// FitAlong draws a figure's line along a dimension.
func FitAlong(points []sweep.Point, dimension sweep.Dimension, metric sweep.Metric) (Line, bool) {
	values, measured := Samples(points, dimension, metric)
	return Fit(values, measured)
}

// Samples gives what a figure's line is drawn through: nothing if all is of one size, whose windows only differ a little.
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
