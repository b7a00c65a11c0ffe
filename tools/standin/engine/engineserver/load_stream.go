package engineserver

// loadStream is one running or waiting stream in a load report.
type loadStream struct {
	ID      string `json:"id"`
	Context int    `json:"context"`
}
