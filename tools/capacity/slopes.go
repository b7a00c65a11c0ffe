package main

// slopes fits a line for each sweep and measure.
func slopes(points []point) []slope {
	var fitted []slope
	for _, s := range series() {
		var own []point
		for _, p := range points {
			if p.Sweep == s.name {
				own = append(own, p)
			}
		}
		for _, m := range measures() {
			base, perUnit := fit(own, m.value)
			fitted = append(fitted, slope{Sweep: s.name, Measure: m.name, Base: base, PerUnit: perUnit})
		}
	}
	return fitted
}

// dimension returns the number that grows in the point's sweep.
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

// fit returns the least-squares line through the points.
func fit(points []point, value func(point) float64) (base, perUnit float64) {
	var n, sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		x, y := dimension(p), value(p)
		n++
		sumX += x
		sumY += y
		sumXX += x * x
		sumXY += x * y
	}
	spread := n*sumXX - sumX*sumX
	if spread == 0 {
		return 0, 0
	}
	perUnit = (n*sumXY - sumX*sumY) / spread
	return (sumY - perUnit*sumX) / n, perUnit
}
