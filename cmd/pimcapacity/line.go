package main

import "errors"

// lineCommand fits a line to values that a script has measured.
type lineCommand struct {
	out    *output
	Name   string    `long:"name" required:"yes" description:"what was measured"`
	Unit   string    `long:"unit" required:"yes" description:"unit of the values"`
	Of     string    `long:"of" required:"yes" description:"what the sizes count"`
	Sizes  []float64 `long:"size" required:"yes" description:"size, once per point"`
	Values []float64 `long:"value" required:"yes" description:"value, once per point in the order of the sizes"`
}

// errPoints means that the points do not determine a line.
var errPoints = errors.New("at least two sizes and one value per size are needed")

// Execute prints the points and the line.
func (c *lineCommand) Execute([]string) error {
	if len(c.Sizes) < 2 || len(c.Sizes) != len(c.Values) {
		return errPoints
	}
	return c.out.print([]series{newSeries(c.Name, c.Unit, c.Of, c.Sizes, c.Values)})
}
