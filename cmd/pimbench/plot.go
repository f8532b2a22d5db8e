package main

import (
	"github.com/samber/oops"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/pimentoyard/pimentoyard/internal/scenario/pimbalance"
	"github.com/pimentoyard/pimentoyard/internal/scenario/pimflood"
)

const (
	plotWidth, plotHeight = 8 * vg.Inch, 4.5 * vg.Inch
	barWidth              = 0.6 * vg.Inch
	// legendRoom is the factor on the vertical axis that keeps the legend above the bars.
	legendRoom = 1.25
	// minKept is the fraction of its guarantee that each contract must keep while others flood.
	minKept = 0.95
)

// series is one group of bars, one value for each category.
type series struct {
	name   string
	values plotter.Values
}

// plotBars writes a chart with grouped bars and a dashed line at the limit.
func plotBars(file, title, label string, categories []string, groups []series, limit float64) (err error) {
	defer func() { err = oops.In("pimbench").Wrapf(err, "plot %s", file) }()
	p := plot.New()
	p.Title.Text, p.Y.Label.Text, p.Y.Min = title, label, 0
	width := barWidth / vg.Length(len(groups))
	for i, g := range groups {
		bars, err := plotter.NewBarChart(g.values, width)
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i) //nolint:misspell // names of the plot library
		bars.LineStyle.Width = 0
		bars.Offset = width * (vg.Length(i) - vg.Length(len(groups)-1)/2)
		p.Add(bars)
		p.Legend.Add(g.name, bars)
	}
	line := plotter.NewFunction(func(float64) float64 { return limit })
	line.Dashes = []vg.Length{vg.Points(4), vg.Points(4)}
	p.Add(line)
	p.Legend.Top = true
	p.NominalX(categories...)
	p.X.Min, p.X.Max = -0.5, float64(len(categories))-0.5
	p.Y.Max *= legendRoom
	return p.Save(plotWidth, plotHeight, file)
}

// plotFlood plots which fraction of its guarantee each contract kept that did not flood, by phase and policy. The bars
// show the worst of all seeds.
func plotFlood(file string, reports []pimflood.Report) error {
	var categories []string
	index, groups := map[string]int{}, []series{{name: string(pimflood.Shares)}, {name: string(pimflood.FIFO)}}
	for _, r := range reports {
		group := 0
		if r.Policy == pimflood.FIFO {
			group = 1
		}
		for _, bar := range floodBars(r) {
			i, ok := index[bar.name]
			if !ok {
				i = len(categories)
				index[bar.name] = i
				categories = append(categories, bar.name)
				groups[0].values, groups[1].values = append(groups[0].values, 1), append(groups[1].values, 1)
			}
			groups[group].values[i] = min(groups[group].values[i], bar.values[0])
		}
	}
	return plotBars(file, "Goodput kept in floods (worst seed)", "fraction of the guarantee", categories, groups, minKept)
}

// floodBars returns which fraction of its guarantee each contract kept that did not flood, for each phase with a flood.
// Calm phases and phases with a flood alternate; the first phase is calm.
func floodBars(r pimflood.Report) (bars []series) {
	for i, p := range r.Phases {
		if i%2 == 0 {
			continue
		}
		for _, c := range p.Contracts {
			if !c.Flooding {
				bars = append(bars, series{name: p.Name + "\n" + c.Contract, values: plotter.Values{min(c.Kept, c.Steady)}})
			}
		}
	}
	return bars
}

// plotBalance plots the open flows of the fullest host divided by the mean of all hosts, averaged over the time of a run
// and over the seeds.
func plotBalance(file string, reports []pimbalance.Report) error {
	groups := []series{{name: "delayed reports"}, {name: "wrong reports, faulty hosts"}}
	var categories []string
	for i := range groups {
		groups[i].values = make(plotter.Values, len(pimbalance.Choices))
	}
	for i, choice := range pimbalance.Choices {
		categories = append(categories, string(choice))
		for g, faults := range []bool{false, true} {
			groups[g].values[i] = meanRatio(reports, choice, faults)
		}
	}
	return plotBars(file, "Balance of open flows (mean of seeds)", "max/mean, limited to 3", categories, groups, 1)
}

// meanRatio returns the ratio of maximum to mean, averaged over the seeds and limited to the range of the plot.
func meanRatio(reports []pimbalance.Report, choice pimbalance.Choice, faults bool) float64 {
	const maxPlottedRatio = 3
	sum, n := 0.0, 0
	for _, r := range reports {
		if r.Choice == choice && r.Faults == faults {
			sum += r.MaxToMean
			n++
		}
	}
	return min(sum/float64(max(n, 1)), maxPlottedRatio)
}
