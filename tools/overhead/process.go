package main

import (
	"bytes"
	"fmt"
	"os"
	"time"
)

// clockTick is the unit of processor times in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// processorTime returns the user and system time that a process has used so far.
func processorTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("read processor time: %w", err)
	}
	// The process name in parentheses may contain spaces, so the fields are read after it.
	fields := data[bytes.LastIndexByte(data, ')')+1:]
	var state string
	var skipped [10]int64
	var user, system int64
	_, err = fmt.Sscan(string(fields), &state, &skipped[0], &skipped[1], &skipped[2], &skipped[3], &skipped[4],
		&skipped[5], &skipped[6], &skipped[7], &skipped[8], &skipped[9], &user, &system)
	if err != nil {
		return 0, fmt.Errorf("read processor time: %w", err)
	}
	return time.Duration(user+system) * clockTick, nil
}

// peakMemory returns the peak resident memory of a process in KiB.
func peakMemory(pid int) (int, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, fmt.Errorf("read memory: %w", err)
	}
	_, rest, _ := bytes.Cut(data, []byte("VmHWM:"))
	var kib int
	if _, err := fmt.Sscan(string(rest), &kib); err != nil {
		return 0, fmt.Errorf("read memory: %w", err)
	}
	return kib, nil
}
