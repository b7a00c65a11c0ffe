package loadgen

// curve is one line of a panel.
type curve struct {
	name   string
	colour string
	points [][2]float64 // shares of the panel's width and height
}
