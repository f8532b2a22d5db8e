package pimcontract

import "github.com/pimentoyard/pimentoyard/pkg/pimid"

// DataCentreFraction returns the fraction of the contract's limits that belongs to a data centre, from 0 to 1. Without
// weights, all data centres have equal fractions; dataCentres is their number. It is 0 if no weight is above 0.
func (c *Contract) DataCentreFraction(dataCentre pimid.DataCentre, dataCentres int) float64 {
	if len(c.DataCentreWeights) == 0 {
		return 1 / float64(max(dataCentres, 1))
	}
	var sum float64
	for _, w := range c.DataCentreWeights {
		sum += w
	}
	if sum <= 0 {
		return 0
	}
	return c.DataCentreWeights[dataCentre] / sum
}
