package main

// fit is a straight line fitted to measured points.
type fit struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// R2 is the coefficient of determination: the fraction of the variance of y that the line explains.
	R2 float64 `json:"r2"`
}

// leastSquares fits a line by the method of least squares. It needs at least two points with different x.
func leastSquares(x, y []float64) (f fit) {
	n := float64(len(x))
	var sx, sy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
	}
	mx, my := sx/n, sy/n
	var xx, xy, yy float64
	for i := range x {
		xx += (x[i] - mx) * (x[i] - mx)
		xy += (x[i] - mx) * (y[i] - my)
		yy += (y[i] - my) * (y[i] - my)
	}
	f.Slope = xy / xx
	f.Intercept = my - f.Slope*mx
	f.R2 = 1
	if yy > 0 {
		f.R2 = xy * xy / (xx * yy)
	}
	return f
}
