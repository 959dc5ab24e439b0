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

// Shown are the figures that are drawn, by dimension.
var Shown = map[string][]string{
	"carriers": {"sorter primary processor", "sorter primary bytes", "postmaster primary processor", "carrier processor", "carrier memory", "take-up, slowest carrier"},
	"routes":   {"carrier bytes", "take-up, slowest carrier"},
	"services": {"carrier bytes"},
	"calls":    {"sorter primary processor"},
	"restarts": {"carrier bytes"},
}

// PlotFile is a plot's file name.
func PlotFile(dimension, figure string) string {
	return strings.NewReplacer(" ", "-", ",", "").Replace(dimension+"-"+figure) + ".svg"
}

// Plots draws every shown figure with its runs and its line into a folder.
func Plots(points []sweep.Point, folder string) error {
	for name, figures := range Shown {
		dimension, err := sweep.Find(name)
		if err != nil {
			return err
		}
		for _, one := range figures {
			figure, err := sweep.FindFigure(one)
			if err != nil {
				return err
			}
			if err := draw(points, dimension, figure, filepath.Join(folder, PlotFile(name, one))); err != nil {
				return fmt.Errorf("%s along %s: %w", one, name, err)
			}
		}
	}
	return nil
}

func draw(points []sweep.Point, dimension sweep.Dimension, figure sweep.Figure, path string) error {
	values, measured := Pairs(points, dimension, figure)
	drawn, possible := Fit(values, measured)
	if !possible {
		return fmt.Errorf("too few runs are recorded")
	}
	runs := make(plotter.XYs, len(values))
	for index := range values {
		runs[index].X, runs[index].Y = values[index], measured[index]
	}
	picture := plot.New()
	picture.Title.Text = fmt.Sprintf("%s: %s ± %s %s for a %s", figure.Name, Number(drawn.Slope), Number(drawn.Error), figure.Unit, dimension.Unit)
	picture.X.Label.Text, picture.Y.Label.Text, picture.Y.Min = dimension.Name, figure.Unit, 0
	scatter, err := plotter.NewScatter(runs)
	if err != nil {
		return err
	}
	picture.Add(scatter, plotter.NewFunction(drawn.At), plotter.NewGrid())
	return picture.Save(14*vg.Centimeter, 9*vg.Centimeter, path)
}
