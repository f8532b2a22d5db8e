package main

import (
	"github.com/samber/oops"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"

	"github.com/pimentoyard/pimentoyard/internal/soak/pimsoak"
)

// plotSoak plots the answers in each second of a run and the percentiles of the answer times, with one line for each
// program.
func plotSoak(seconds, times string, summaries []pimsoak.Summary) error {
	err := plotLines(seconds, "Answers by second of a run (mean of the seeds)", "second", "answers", summaries,
		func(s pimsoak.Summary) (line plotter.XYs) {
			for n, answers := range s.Seconds {
				line = append(line, plotter.XY{X: float64(n), Y: answers})
			}
			return line
		})
	if err != nil {
		return err
	}
	return plotLines(times, "Times of answers", "percentile", "ms", summaries, func(s pimsoak.Summary) (line plotter.XYs) {
		for i, ms := range s.Quantiles {
			line = append(line, plotter.XY{X: pimsoak.Percentiles[i], Y: ms})
		}
		return line
	})
}

func plotLines(
	file, title, x, y string, summaries []pimsoak.Summary, lineOf func(pimsoak.Summary) plotter.XYs,
) (err error) {
	defer func() { err = oops.In("pimbench").Wrapf(err, "plot %s", file) }()
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text, p.Y.Min = title, x, y, 0
	for i, s := range summaries {
		line, err := plotter.NewLine(lineOf(s))
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i) //nolint:misspell // names of the plot library
		p.Add(line)
		p.Legend.Add(s.Program, line)
	}
	return p.Save(plotWidth, plotHeight, file)
}
