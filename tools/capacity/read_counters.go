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
	// ticksPerSecond is the unit of processor time in /proc on Linux.
	ticksPerSecond = 100
	// pageBytes is the unit of resident memory in /proc.
	pageBytes = 4096
	// fields of /proc/PID/stat after the command's name
	fieldUserTime   = 11
	fieldSystemTime = 12
	fieldResident   = 21
)

// read sums the counters of all hosts and takes the platform's.
func read(d *cluster.Deployment) (reading, error) {
	var sum reading
	for _, h := range d.Hosts {
		if err := readProcess(h.Process.PID(), &sum); err != nil {
			return reading{}, err
		}
		if err := readMetrics(h.AdminAddress, &sum); err != nil {
			return reading{}, err
		}
	}
	return sum, readPlatform(d.PlatformAddress, &sum)
}

func readProcess(pid int, sum *reading) error {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return fmt.Errorf("read processor time: %w", err)
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	sum.cpuSeconds += (number(fields[fieldUserTime]) + number(fields[fieldSystemTime])) / ticksPerSecond
	sum.residentMiB += number(fields[fieldResident]) * pageBytes / (1 << 20)
	return nil
}

func number(text string) float64 {
	value, _ := strconv.ParseFloat(text, 64)
	return value
}

func readMetrics(admin string, sum *reading) error {
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
			sum.sentBytes += number(value)
		case "siskintide_peer_sent_messages":
			sum.sentMessages += number(value)
		}
	}
	return lines.Err()
}

func readPlatform(address string, sum *reading) error {
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
