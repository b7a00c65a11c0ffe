package cluster

// Target is one stand-in of an engine or of a plain service.
type Target struct {
	Name       string
	DataCentre string
	Address    string
	Engine     bool // true for a model engine, false for a plain service
}
