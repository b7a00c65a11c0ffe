package commandline

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"siskintide.example/siskintide/internal/operatorapi"
	"siskintide.example/siskintide/internal/operatortext"
	"siskintide.example/siskintide/internal/settings"
)

// Run carries out one command line, given without the name of the program. Unknown
// arguments end the process with status 2 and the help.
func Run(ctx context.Context, args []string, env Environment) ExitCode {
	a := &arguments{output: "text"}
	parser, commands := newParser(a)
	if err := parser.ParseArgs(args); err != nil {
		_, _ = fmt.Fprintln(env.Err, "siskintide:", err)
		return ExitInput
	}
	s := &session{arguments: a, env: env, ctx: ctx}
	for _, c := range commands {
		if c.parser.Used {
			return s.finish(s.checked(c))
		}
	}
	parser.ShowHelp()
	return ExitInput
}

// checked runs a command once the flags that all commands share are accepted.
func (s *session) checked(c *command) error {
	if s.arguments.output != "text" && s.arguments.output != "json" {
		return &InputError{Argument: "--output", Got: s.arguments.output, Accepted: "text or json"}
	}
	return c.run(s)
}

// finish reports a failure and chooses the exit status.
func (s *session) finish(err error) ExitCode {
	if err == nil {
		return ExitOK
	}
	var failure *operatorapi.Failure
	if errors.As(err, &failure) {
		return s.finishFailure(failure)
	}
	_, _ = fmt.Fprintln(s.env.Err, "siskintide:", err)
	var input *InputError
	var invalid *settings.InvalidError
	var unread *settings.ReadError
	if errors.As(err, &input) || errors.As(err, &invalid) || errors.As(err, &unread) {
		return ExitInput
	}
	return ExitFailed
}

func (s *session) finishFailure(failure *operatorapi.Failure) ExitCode {
	if s.arguments.json() {
		_ = json.NewEncoder(s.env.Out).Encode(failure)
	} else {
		_ = operatortext.WriteFailure(s.env.Err, failure)
	}
	switch failure.Type {
	case operatorapi.Conflicted:
		return ExitChanged
	case operatorapi.Inconsistent, operatorapi.Malformed:
		return ExitInput
	}
	return ExitFailed
}
