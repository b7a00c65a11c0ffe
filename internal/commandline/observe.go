package commandline

import (
	"fmt"
	"os"
	"strings"

	"siskintide.example/siskintide/internal/operatorapi"
	"siskintide.example/siskintide/internal/operatortext"
	"siskintide.example/siskintide/internal/settings"
)

// runCheck checks each settings file by itself and all declarations together.
func runCheck(s *session) error {
	declarations := []string{}
	for _, path := range s.arguments.positionals() {
		data, err := os.ReadFile(path)
		if err != nil {
			return &settings.ReadError{Path: path, Err: err}
		}
		if !settings.IsHostSettings(data) {
			declarations = append(declarations, path)
			continue
		}
		if _, err := settings.Parse(path, data); err != nil {
			return err
		}
		_, _ = fmt.Fprintf(s.env.Out, "%s: settings accepted\n", path)
	}
	if len(declarations) == 0 {
		return nil
	}
	config, err := settings.LoadDeclarations(declarations...)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.env.Out, "%s: declarations accepted: %d data centres, %d targets, %d teams\n",
		strings.Join(declarations, ", "), len(config.DataCentres), len(config.Targets), len(config.Teams))
	return err
}

func runStatus(s *session) error {
	client, err := s.client(s.hosts())
	if err != nil {
		return err
	}
	status, err := client.Status(s.ctx)
	if err != nil {
		return err
	}
	return s.show(status, func() error { return operatortext.WriteStatus(s.env.Out, status) })
}

// runPush reads the accepted configuration from a host that has it and sends it to each of the
// given addresses.
func runPush(s *session) error {
	from, err := s.client(s.hosts())
	if err != nil {
		return err
	}
	sealed, err := from.AcceptedConfig(s.ctx)
	if err != nil {
		return err
	}
	var last error
	for _, address := range s.arguments.positionals() {
		if err := s.pushTo(address, sealed); err != nil {
			_, _ = fmt.Fprintf(s.env.Err, "%s: %v\n", address, err)
			last = err
		}
	}
	return last
}

func (s *session) pushTo(address string, sealed *operatorapi.SealedConfig) error {
	to, err := s.client([]string{address})
	if err != nil {
		return err
	}
	pushed, err := to.Push(s.ctx, sealed)
	if err != nil {
		return err
	}
	return s.show(pushed, func() error {
		note := "had revision"
		if pushed.Applied {
			note = "took revision"
		}
		_, err := fmt.Fprintf(s.env.Out, "%s: host %s %s %d\n", address, pushed.Host, note, pushed.Revision)
		return err
	})
}
