package main

import (
	"fmt"
	"net/http"
	"os/exec"
	"time"

	"siskintide.example/siskintide/platform/platformtest"
)

// host is one host's process.
type host struct {
	name, ip, settings string
	command            *exec.Cmd
	exited             chan struct{}
}

func (h *host) front() string { return fmt.Sprintf("%s:%d", h.ip, frontPort) }

func (h *host) ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d%s", h.ip, readyPort, platformtest.ReadyPath))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
