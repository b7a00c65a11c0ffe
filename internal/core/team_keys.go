package core

// TeamKeys declares the API keys of a team.
type TeamKeys struct {
	Team     TeamID
	Keys     []string
	Priority *Priority // overrides the route's priority; nil means the route's
}
