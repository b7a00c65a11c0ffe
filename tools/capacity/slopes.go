package main

// slopes fits a line for each sweep and quantity.
func slopes(points []point) []slope {
	var fitted []slope
	for _, s := range sweeps() {
		var sweepPoints []point
		for _, p := range points {
			if p.Sweep == s.name {
				sweepPoints = append(sweepPoints, p)
			}
		}
		for _, q := range quantities() {
			base, perUnit := fitLine(sweepPoints, q.value)
			fitted = append(fitted, slope{Sweep: s.name, Quantity: q.name, Base: base, PerUnit: perUnit})
		}
	}
	return fitted
}

// dimension returns the size of the deployment in the dimension of the point's sweep. For the
// changes sweep this is the number of teams, because all its points have the same changes.
func dimension(p point) float64 {
	switch p.Sweep {
	case "hosts":
		return float64(p.Size.Hosts)
	case "targets":
		return float64(p.Size.Targets)
	default:
		return float64(p.Size.Teams)
	}
}

// fitLine returns the least-squares line through the points, or zeros if all points have
// the same dimension.
func fitLine(points []point, value func(point) float64) (base, perUnit float64) {
	var n, sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		x, y := dimension(p), value(p)
		n++
		sumX += x
		sumY += y
		sumXX += x * x
		sumXY += x * y
	}
	denominator := n*sumXX - sumX*sumX
	if denominator == 0 {
		return 0, 0
	}
	perUnit = (n*sumXY - sumX*sumY) / denominator
	return (sumY - perUnit*sumX) / n, perUnit
}
