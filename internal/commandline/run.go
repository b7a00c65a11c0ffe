package commandline

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"siskintide.example/siskintide/internal/operatorapi"
	"siskintide.example/siskintide/internal/operatortext"
	"siskintide.example/siskintide/internal/settings"
	"siskintide.example/siskintide/platform"
)

// Run executes one command line; args does not include the program name. For unknown
// arguments the parser prints the help and ends the process with status 2.
func Run(ctx context.Context, args []string, env Environment) ExitCode {
	a := &arguments{output: "text", hostMB: platform.SmallestHostMB}
	parser, commands := newParser(a)
	if err := parser.ParseArgs(args); err != nil {
		_, _ = fmt.Fprintln(env.Err, "siskintide:", err)
		return ExitInvalidInput
	}
	s := &session{arguments: a, env: env, ctx: ctx}
	for _, c := range commands {
		if c.parser.Used {
			return s.finish(s.runCommand(c))
		}
	}
	parser.ShowHelp()
	return ExitInvalidInput
}

// runCommand checks the flags that all commands share and runs a command.
func (s *session) runCommand(c *command) error {
	if s.arguments.output != "text" && s.arguments.output != "json" {
		return &InputError{Argument: "--output", Got: s.arguments.output, Accepted: "text or json"}
	}
	return c.run(s)
}

// finish reports an error and returns the exit status.
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
	var malformed *platform.ConfigFormError
	if errors.As(err, &input) || errors.As(err, &invalid) || errors.As(err, &unread) || errors.As(err, &malformed) {
		return ExitInvalidInput
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
		return ExitConflict
	case operatorapi.Inconsistent, operatorapi.Malformed:
		return ExitInvalidInput
	}
	return ExitFailed
}
