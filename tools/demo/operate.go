package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// operate runs the operators' command line and returns what it printed.
func (d *deployment) operate(args ...string) (string, error) {
	all := append([]string{}, args...)
	for _, h := range d.hosts {
		all = append(all, "--host", h.admin)
	}
	command := exec.Command(filepath.Join(d.programs, "siskintide"), all...)
	command.Env = append(os.Environ(), "SISKINTIDE_OPERATOR_KEY="+operatorKey)
	var output bytes.Buffer
	command.Stdout = &output
	command.Stderr = &output
	if args[0] != "status" {
		fmt.Println("$ siskintide", strings.Join(args, " "))
	}
	err := command.Run()
	if err != nil {
		return output.String(), &stepError{step: "siskintide " + args[0], reason: fmt.Sprintf("%v: %s", err, output.String())}
	}
	return output.String(), nil
}

// show prints output with an indent.
func show(output string) {
	for line := range strings.Lines(strings.TrimSpace(output)) {
		fmt.Println("    " + strings.TrimRight(line, "\n"))
	}
}
