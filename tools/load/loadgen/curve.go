package loadgen

// curve is one polyline of a plot panel.
type curve struct {
	name   string
	colour string
	points [][2]float64 // fractions of the panel's width and height
}
