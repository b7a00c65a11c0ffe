package commandline

import (
	"fmt"
	"os"
	"strings"

	"siskintide.example/siskintide/internal/operatorapi"
	"siskintide.example/siskintide/internal/operatortext"
	"siskintide.example/siskintide/internal/settings"
)

// runCheck checks settings files one by one and declarations as a whole.
func runCheck(s *session) error {
	declarations := []string{}
	for _, path := range s.arguments.given() {
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

// runPush fetches the accepted configuration from a host that has it and hands it to each
// of the named ones.
func runPush(s *session) error {
	from, err := s.client(s.hosts())
	if err != nil {
		return err
	}
	carried, err := from.AcceptedConfig(s.ctx)
	if err != nil {
		return err
	}
	var last error
	for _, address := range s.arguments.given() {
		if err := s.pushTo(address, carried); err != nil {
			_, _ = fmt.Fprintf(s.env.Err, "%s: %v\n", address, err)
			last = err
		}
	}
	return last
}

func (s *session) pushTo(address string, carried *operatorapi.SealedConfig) error {
	to, err := s.client([]string{address})
	if err != nil {
		return err
	}
	pushed, err := to.Push(s.ctx, carried)
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
