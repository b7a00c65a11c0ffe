package commandline

// maxWords bounds the file names, targets or addresses that one command takes.
const maxWords = 64

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
	words          [maxWords]string // positional values after the command
}

// given returns the positional values that were given.
func (a *arguments) given() []string {
	words := []string{}
	for _, word := range a.words {
		if word != "" {
			words = append(words, word)
		}
	}
	return words
}

func (a *arguments) json() bool { return a.output == "json" }
