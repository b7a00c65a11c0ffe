package commandline

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"siskintide.example/siskintide/internal/configcheck"
	"siskintide.example/siskintide/internal/operatorclient"
)

const (
	keyVariable   = "SISKINTIDE_OPERATOR_KEY"
	hostsVariable = "SISKINTIDE_HOSTS"
)

// session holds the state of one run of the tool.
type session struct {
	arguments *arguments
	env       Environment
	ctx       context.Context
}

// client returns a client for the given admin addresses.
func (s *session) client(hosts []string) (*operatorclient.Client, error) {
	key, err := s.operatorKey()
	if err != nil {
		return nil, err
	}
	if len(hosts) == 0 {
		return nil, &InputError{Argument: "--host", Got: "no address", Accepted: configcheck.AddressForm}
	}
	for _, host := range hosts {
		if !configcheck.ReachableAddress(host) {
			return nil, &InputError{Argument: "--host", Got: fmt.Sprintf("%q", host), Accepted: configcheck.AddressForm}
		}
	}
	return operatorclient.New(hosts, key, s.env.HTTP), nil
}

// hosts returns the admin addresses from --host or from the environment.
func (s *session) hosts() []string {
	listed := strings.Join(s.arguments.hosts, ",")
	if listed == "" {
		listed = s.env.Getenv(hostsVariable)
	}
	return strings.FieldsFunc(listed, func(r rune) bool { return r == ',' || r == ' ' })
}

func (s *session) operatorKey() (string, error) {
	if s.arguments.keyFile == "" {
		key := s.env.Getenv(keyVariable)
		if key == "" {
			return "", &InputError{Argument: "--key-file", Got: "no operator key", Accepted: "a file that holds it, or " + keyVariable}
		}
		return key, nil
	}
	text, err := os.ReadFile(s.arguments.keyFile)
	if err != nil {
		return "", &InputError{Argument: "--key-file", Got: err.Error(), Accepted: "a readable file"}
	}
	return strings.TrimSpace(string(text)), nil
}

// show writes a value as one line of JSON, or as text.
func (s *session) show(value any, text func() error) error {
	if !s.arguments.json() {
		return text()
	}
	if err := json.NewEncoder(s.env.Out).Encode(value); err != nil {
		return fmt.Errorf("write answer: %w", err)
	}
	return nil
}

// askToConfirm asks the operator to confirm, unless --yes is given.
func (s *session) askToConfirm(question string) bool {
	if s.arguments.yes {
		return true
	}
	_, _ = fmt.Fprintf(s.env.Err, "%s Type yes to confirm: ", question)
	answer, _ := bufio.NewReader(s.env.In).ReadString('\n')
	return strings.TrimSpace(answer) == "yes"
}
