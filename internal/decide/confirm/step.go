package confirm

// Step is the next action that the machine requests.
type Step interface{ step() }
