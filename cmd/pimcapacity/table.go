package main

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
)

// series is one measured quantity at several sizes with its fitted line.
type series struct {
	Name string `json:"name"`
	Unit string `json:"unit"`
	// Of is what the sizes count, such as VMs.
	Of     string    `json:"of"`
	Sizes  []float64 `json:"sizes"`
	Values []float64 `json:"values"`
	Fit    fit       `json:"fit"`
}

// newSeries fits a line to the values.
func newSeries(name, unit, of string, sizes, values []float64) series {
	return series{Name: name, Unit: unit, Of: of, Sizes: sizes, Values: values, Fit: leastSquares(sizes, values)}
}

// print writes the series as aligned text or JSON.
func (o *output) print(list []series) error {
	if o.JSON {
		enc := json.NewEncoder(o.w)
		enc.SetIndent("", "  ")
		return enc.Encode(list)
	}
	w := tabwriter.NewWriter(o.w, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, s := range list {
		if err := s.write(w); err != nil {
			return err
		}
	}
	return w.Flush()
}

func (s series) write(w *tabwriter.Writer) error {
	if _, err := fmt.Fprintf(w, "%s\t%s\t\n", s.Of, s.Name+" ["+s.Unit+"]"); err != nil {
		return err
	}
	for i := range s.Sizes {
		if _, err := fmt.Fprintf(w, "%.0f\t%.1f\t\n", s.Sizes[i], s.Values[i]); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "slope\t%.4f\t\nintercept\t%.1f\t\nr2\t%.4f\t\n\t\t\n", s.Fit.Slope, s.Fit.Intercept, s.Fit.R2)
	return err
}
