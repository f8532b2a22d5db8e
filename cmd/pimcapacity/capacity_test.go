package main

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"github.com/matryer/is"
)

// Guards against a fit that does not find the line through exact points.
func TestLeastSquares(t *testing.T) {
	is := is.New(t)
	is.Equal(leastSquares([]float64{1, 2, 4}, []float64{5, 7, 11}), fit{Slope: 2, Intercept: 3, R2: 1})
	is.Equal(leastSquares([]float64{1, 2, 3}, []float64{4, 4, 4}), fit{Slope: 0, Intercept: 4, R2: 1})
	is.True(leastSquares([]float64{1, 2, 3}, []float64{1, 5, 1}).R2 < 0.01)
}

// Guards against unintended changes of the text output.
func TestTextOutput(t *testing.T) {
	is := is.New(t)
	var buf bytes.Buffer
	o := &output{w: &buf}
	is.NoErr(o.print([]series{newSeries("member table", "B", "VMs", []float64{10, 20, 30}, []float64{100, 200, 300})}))
	want, err := os.ReadFile("testdata/table.golden")
	is.NoErr(err)
	is.Equal(buf.String(), string(want))
}

// Guards against a subcommand that fails or prints no JSON.
func TestSubcommandsPrintJSON(t *testing.T) {
	for name, args := range map[string][]string{
		"members":    {"--size=10", "--size=20", "--size=30"},
		"config":     {"--backends=10", "--backends=20", "--services=10", "--services=20", "--changes=2", "--batch=5", "--batches=2"},
		"gossip":     {"--size=8", "--size=16", "--seconds=2"},
		"rendezvous": {"--size=8", "--size=16", "--keys=100"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var buf bytes.Buffer
			_, err := newParser(&buf).ParseArgs(append([]string{name, "--json"}, args...))
			is.NoErr(err)
			var list []series
			is.NoErr(json.Unmarshal(buf.Bytes(), &list))
			is.True(len(list) > 0)
			for _, s := range list {
				is.Equal(len(s.Values), len(s.Sizes))
				is.True(len(s.Sizes) >= 2)
			}
		})
	}
}
