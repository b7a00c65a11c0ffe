package configreview

// Share is the share of a route's requests that one service gets.
type Share struct {
	Service string
	Weight  int
}
