package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"

	"siskintide.example/siskintide/tools/cluster"
)

const (
	// ticksPerSecond is the number of clock ticks a second in /proc/PID/stat on Linux.
	ticksPerSecond = 100
	// pageBytes is the size of a memory page, the unit of resident memory in /proc/PID/stat.
	pageBytes = 4096
	// The fields of /proc/PID/stat that are used, counted from 0 after the command name.
	fieldUserTime   = 11
	fieldSystemTime = 12
	fieldResident   = 21
)

// readCounters sums the counters of all hosts and adds those of the platform.
func readCounters(d *cluster.Deployment) (counters, error) {
	var sum counters
	for _, h := range d.Hosts {
		if err := readProcess(h.Process.PID(), &sum); err != nil {
			return counters{}, err
		}
		if err := readMetrics(h.AdminAddress, &sum); err != nil {
			return counters{}, err
		}
	}
	return sum, readPlatform(d.PlatformAddress, &sum)
}

// readProcess adds the processor time and resident memory of a process to sum.
func readProcess(pid int, sum *counters) error {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return fmt.Errorf("read process statistics: %w", err)
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	sum.cpuSeconds += (parseNumber(fields[fieldUserTime]) + parseNumber(fields[fieldSystemTime])) / ticksPerSecond
	sum.residentMiB += parseNumber(fields[fieldResident]) * pageBytes / (1 << 20)
	return nil
}

// parseNumber parses a number and returns 0 if it is malformed.
func parseNumber(text string) float64 {
	value, _ := strconv.ParseFloat(text, 64)
	return value
}

// readMetrics adds a host's counters of bytes and messages sent to peers to sum.
func readMetrics(admin string, sum *counters) error {
	response, err := http.Get("http://" + admin + "/metrics")
	if err != nil {
		return fmt.Errorf("read metrics: %w", err)
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		switch name {
		case "siskintide_peer_sent_bytes":
			sum.sentBytes += parseNumber(value)
		case "siskintide_peer_sent_messages":
			sum.sentMessages += parseNumber(value)
		}
	}
	return lines.Err()
}

// readPlatform sets the numbers of reads and writes served by the platform's stand-in.
func readPlatform(address string, sum *counters) error {
	response, err := http.Get("http://" + address + "/stand-in/counts")
	if err != nil {
		return fmt.Errorf("read the platform's counts: %w", err)
	}
	defer response.Body.Close()
	counts := map[string]float64{}
	if err := json.NewDecoder(response.Body).Decode(&counts); err != nil {
		return fmt.Errorf("read the platform's counts: %w", err)
	}
	for name, count := range counts {
		if strings.HasSuffix(name, "_reads") {
			sum.platformReads += count
		}
	}
	sum.platformWrites = counts["table_writes"] + counts["object_writes"]
	return nil
}
