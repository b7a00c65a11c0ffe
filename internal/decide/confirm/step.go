package confirm

// Step is what the machine wants done next.
type Step interface{ step() }
