package commandline

// maxPositionals bounds the file names, targets or addresses that a command accepts.
const maxPositionals = 64

// arguments holds the parsed values of all commands.
type arguments struct {
	hosts          []string
	keyFile        string
	output         string
	yes            bool
	planOnly       bool
	acceptOverload bool
	acceptUnserved bool
	weightBytes    int64
	inForce        string                 // file with the configuration in force
	hostMB         int64                  // memory of the smallest host, in MiB
	slots          [maxPositionals]string // positional values after the command
}

// positionals returns the positional values of the command line.
func (a *arguments) positionals() []string {
	values := []string{}
	for _, value := range a.slots {
		if value != "" {
			values = append(values, value)
		}
	}
	return values
}

// json reports whether the output is JSON.
func (a *arguments) json() bool { return a.output == "json" }
