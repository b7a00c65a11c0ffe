package cluster

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// maxCLIHosts limits the admin addresses that are passed to one call.
const maxCLIHosts = 9

// RunCLI runs the operators' command line tool and returns its output.
func (d *Deployment) RunCLI(args ...string) (string, error) {
	all := append([]string{}, args...)
	for _, h := range d.Hosts[:min(len(d.Hosts), maxCLIHosts)] {
		all = append(all, "--host", h.AdminAddress)
	}
	command := exec.Command(filepath.Join(d.layout.BinDir, "siskintide"), all...)
	command.Env = append(os.Environ(), "SISKINTIDE_OPERATOR_KEY="+OperatorKey)
	var output bytes.Buffer
	command.Stdout = &output
	command.Stderr = &output
	err := command.Run()
	if err != nil {
		return output.String(), &StepError{Step: "siskintide " + args[0], Reason: fmt.Sprintf("%v: %s", err, output.String())}
	}
	return output.String(), nil
}
