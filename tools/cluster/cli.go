package cluster

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// operateHosts bounds the admin addresses given to one call.
const operateHosts = 9

// RunCLI runs the operators' command line and returns what it printed.
func (d *Deployment) RunCLI(args ...string) (string, error) {
	all := append([]string{}, args...)
	for _, h := range d.Hosts[:min(len(d.Hosts), operateHosts)] {
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
